package faultyserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// conditions are what connections differ in.
type linkConditions struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newNetwork(r *rand.Rand) *memorynet.Network {
	c := &linkConditions{random: r}
	return &memorynet.Network{Window: c.window, Latency: c.latency}
}

func (c *linkConditions) window() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 << (10 + c.random.IntN(7))
}

func (c *linkConditions) latency() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(50+c.random.Int64N(3000)) * time.Microsecond
}

package faultyserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// conditions are what connections differ in.
type conditions struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newNetwork(r *rand.Rand) *memorynet.Network {
	c := &conditions{r: r}
	return &memorynet.Network{Window: c.window, Latency: c.latency}
}

func (c *conditions) window() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 << (10 + c.r.IntN(7))
}

func (c *conditions) latency() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(50+c.r.Int64N(3000)) * time.Microsecond
}

package faultyserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// linkConditions draws the window and latency of each connection.
type linkConditions struct {
	mu     sync.Mutex // guards random
	random *rand.Rand
}

func newNetwork(random *rand.Rand) *memorynet.Network {
	c := &linkConditions{random: random}
	return &memorynet.Network{Window: c.window, Latency: c.latency}
}

// window returns a power of two from 1 KiB to 64 KiB.
func (c *linkConditions) window() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 << (10 + c.random.IntN(7))
}

// latency returns 0.05 ms to 3.05 ms.
func (c *linkConditions) latency() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(50+c.random.Int64N(3000)) * time.Microsecond
}

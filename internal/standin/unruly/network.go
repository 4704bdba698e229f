package unruly

import (
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/standin/memory"
)

// memoryNetwork is a network whose connections differ in room and latency.
type memoryNetwork struct {
	*memory.Network
	mu sync.Mutex
	r  *rand.Rand
}

func newNetwork(r *rand.Rand) *memoryNetwork {
	n := &memoryNetwork{r: r}
	n.Network = &memory.Network{Window: n.window, Latency: n.latency}
	return n
}

func (n *memoryNetwork) window() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return 1 << (10 + n.r.IntN(7))
}

func (n *memoryNetwork) latency() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(50+n.r.Int64N(3000)) * time.Microsecond
}

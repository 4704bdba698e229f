//go:build race

package replica

// defaultSeeds is the number of random campaigns, defaultSeedsPerFault that of simulations with each kind of
// fault. The race detector slows them down several times, and each runs in one goroutine.
const (
	defaultSeeds         = 30
	defaultSeedsPerFault = 3
)

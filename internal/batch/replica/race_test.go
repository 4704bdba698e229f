//go:build race

package replica

// defaultSeeds is the number of random campaigns, and defaultSeedsPerFault the number of simulations with each kind of
// fault. Both are lower than without the race detector, because it slows simulations down several times, and each runs
// in one goroutine.
const (
	defaultSeeds         = 30
	defaultSeedsPerFault = 3
)

//go:build !race

package replica

// defaultSeeds is the number of random campaigns, and defaultSeedsPerFault the number of simulations with each kind of
// fault.
const (
	defaultSeeds         = 200
	defaultSeedsPerFault = 10
)

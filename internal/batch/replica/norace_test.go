//go:build !race

package replica

// defaultSeeds is the number of random campaigns, defaultSeedsPerFault that of simulations with each kind of
// fault.
const (
	defaultSeeds         = 200
	defaultSeedsPerFault = 10
)

//go:build !race

package replica

// plainWorlds is the number of random worlds that are played by default, plainKinds that of each kind of trouble.
const (
	defaultSeeds         = 200
	defaultSeedsPerFault = 10
)

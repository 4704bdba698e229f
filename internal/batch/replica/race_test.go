//go:build race

package replica

// plainWorlds is the number of random worlds that are played by default, plainKinds that of each kind of trouble: the race
// detector slows them down several times, and each runs in one goroutine.
const (
	plainWorlds = 30
	plainKinds  = 3
)

//go:build race

package replica

// plainWorlds is the number of random worlds that are played by default: the race detector slows
// them down several times, and they run in one goroutine each.
const plainWorlds = 40

// hazardWorlds is the number of worlds for each kind of trouble alone.
const hazardWorlds = 1

//go:build !race

package replica

// plainWorlds is the number of random worlds that are played by default.
const defaultRuns = 200

// hazardWorlds is the number of worlds for each kind of trouble alone.
const runsPerFault = 5

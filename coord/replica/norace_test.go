//go:build !race

package replica

// plainWorlds is the number of random worlds that are played by default.
const plainWorlds = 200

//go:build !race

package operator

// plainHistories is the number of worlds that are played by default.
const plainHistories = 10

//go:build race

package operatorapi

// plainHistories is the number of worlds that are played by default.
const plainHistories = 3

//go:build !race

package operatorapi

// plainHistories is the number of simulations that run by default.
const plainHistories = 10

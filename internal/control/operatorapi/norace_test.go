//go:build !race

package operatorapi

// defaultSimulations is the number of simulations that TestRandomHistories runs by default.
const defaultSimulations = 10

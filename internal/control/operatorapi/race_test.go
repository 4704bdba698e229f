//go:build race

package operatorapi

// defaultSimulations is the number of simulations that TestRandomHistories runs by default with the race detector.
const defaultSimulations = 3

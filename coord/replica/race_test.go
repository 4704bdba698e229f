//go:build race

package replica

// defaultRuns is the number of random runs without SEEDS: the race detector slows each down several times.
const defaultRuns = 40

// runsPerFault is the number of runs with each kind of fault alone.
const runsPerFault = 1

//go:build race

package replica

// defaultRuns is the number of random runs if SEEDS isn't set. It is lower than without the race detector, which slows
// down each run several times.
const defaultRuns = 40

// runsPerFault is the number of runs for each kind of fault in TestSingleFaultKind.
const runsPerFault = 1

//go:build !race

package replica

// defaultRuns is the number of random runs if SEEDS isn't set.
const defaultRuns = 200

// runsPerFault is the number of runs for each kind of fault in TestSingleFaultKind.
const runsPerFault = 5

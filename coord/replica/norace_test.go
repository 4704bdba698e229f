//go:build !race

package replica

// defaultRuns is the number of random runs without SEEDS.
const defaultRuns = 200

// runsPerFault is the number of runs with each kind of fault alone.
const runsPerFault = 5

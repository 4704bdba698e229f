//go:build race

package membership

// maxMachines is the largest number of machines that tests run with. It is lower than without the race detector,
// which makes the tests ten times slower.
const maxMachines = 100

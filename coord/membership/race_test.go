//go:build race

package membership

// largest is the largest number of machines that tests run with: the race detector makes them ten times
// slower.
const largest = 100

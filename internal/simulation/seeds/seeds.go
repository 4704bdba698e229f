// Package seeds reads from the environment which seeds a simulation test runs, so that every test with seeds
// is selected in the same way:
//
//	SEEDS=1000 go test -run Random ./internal/...          1000 simulations of each test
//	FIRST=6691 SEEDS=1 go test -run Random ./internal/...  replays the simulation with seed 6691
//
// It is for tests only.
package seeds

import (
	"os"
	"strconv"
)

// Range returns the first seed of a test and the number of simulations that it runs, one seed after the
// other. The environment variables FIRST and SEEDS replace the test's defaults.
func Range(defaultFirst, defaultCount uint64) (first, count uint64) {
	return Number("FIRST", defaultFirst), Number("SEEDS", defaultCount)
}

// Number returns the value of an environment variable that holds an unsigned integer, or the default value if
// the variable is unset or holds anything else.
func Number(variable string, defaultValue uint64) uint64 {
	if number, err := strconv.ParseUint(os.Getenv(variable), 10, 64); err == nil {
		return number
	}
	return defaultValue
}

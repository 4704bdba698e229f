package main

import (
	"fmt"
	"os"
	"strings"
)

// shortMode tells whether a measurement is to take less than fifty seconds.
func shortMode() bool { return os.Getenv("SHORT") != "" && os.Getenv("SHORT") != "0" }

// seedsFrom returns count seeds from first on.
func seedsFrom(first uint64, count int) (seeds []uint64) {
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// resultLine builds the last line of a measurement.
type resultLine struct{ text strings.Builder }

// add adds " key=value", with the value in a format of package fmt.
func (l *resultLine) add(key, format string, value any) {
	fmt.Fprintf(&l.text, " %s="+format, key, value)
}

package node

import (
	"fmt"
	"strings"
)

// Finding is one fault of something that was read, with its location. It is part of replicated outcomes
// (gob): the names of the fields are fixed.
type Finding struct {
	Place string // a line of a file, a key, a path in a document
	Text  string
}

// Findings are all faults of one thing that was read. They are one error, so that all are reported together.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Place + ": " + finding.Text
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the findings as an error, or a nil error if there are none.
func (f Findings) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Addf adds a finding.
func (f *Findings) Addf(place, format string, values ...any) {
	*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, values...)})
}

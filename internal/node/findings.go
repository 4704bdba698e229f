package node

import (
	"fmt"
	"strings"
)

// Finding is one error in an input, such as a settings file or a document, with its location. It is encoded with
// gob in replicated outcomes, so the names of the fields must not change.
type Finding struct {
	Place string // a line of a file, a key, a path in a document
	Text  string
}

// Findings are all errors of one input. They are returned as one error, so that all are reported together.
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

// Addf adds a finding with a formatted text.
func (f *Findings) Addf(place, format string, values ...any) {
	*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, values...)})
}

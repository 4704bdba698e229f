package node

import (
	"fmt"
	"strings"
)

// Finding is one fault with its place: a file's line, a key, a path in a document.
type Finding struct {
	Place string
	Text  string
}

// Findings are all faults of one thing that was read, reported together.
type Findings []Finding

// Error gives one line a finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Place + ": " + one.Text
	}
	return strings.Join(lines, "\n")
}

// OrNil gives the findings as an error, or nil where there are none.
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

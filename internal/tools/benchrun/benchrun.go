// Package benchrun runs the bench's program on a day of a site, and reads its report.
package benchrun

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Report holds the fields of the bench's report of a day that are used here.
type Report struct {
	Score          float64                    `json:"G"`      // the bench's score of the day
	Served         float64                    `json:"served"` // the share of the requests that was served
	Fault          any                        `json:"fault"`  // nil if there was none
	RuleViolations map[string]json.RawMessage `json:"breaks"` // number of violations, by rule
}

// Run runs a day of a site in a folder (empty: the current one), with further arguments of the bench. If
// the bench writes no report, the error includes the last line of its output.
func Run(program, folder, site, day string, arguments ...string) (*Report, error) {
	scratch, err := os.MkdirTemp("", "benchrun-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(scratch)
	path := filepath.Join(scratch, "report.json")
	command := exec.Command(program, append([]string{"run", site, day, "--report", path}, arguments...)...)
	command.Dir = folder
	output, runErr := command.CombinedOutput()
	text, err := os.ReadFile(path)
	if err != nil {
		lines := strings.Split(strings.TrimSpace(string(output)), "\n")
		return nil, errors.Join(runErr, errors.New(lines[len(lines)-1]))
	}
	var report Report
	return &report, json.Unmarshal(text, &report)
}

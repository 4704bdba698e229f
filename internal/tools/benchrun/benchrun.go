// Package benchrun has the bench play a day and reads its report.
package benchrun

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Report is what is read of the bench's report of a day.
type Report struct {
	Score          float64                    `json:"G"`
	Served         float64                    `json:"served"`
	Fault          any                        `json:"fault"`
	RuleViolations map[string]json.RawMessage `json:"breaks"` // how often, by rule
}

// Play has the bench's program play a day of a site in a folder (empty: the present one), with further arguments. Where it leaves no report
// the error is the last line that it said.
func Run(program, folder, site, day string, arguments ...string) (*Report, error) {
	scratch, err := os.MkdirTemp("", "benchrun-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(scratch)
	path := filepath.Join(scratch, "report.json")
	command := exec.Command(program, append([]string{"run", site, day, "--report", path}, arguments...)...)
	command.Dir = folder
	said, playError := command.CombinedOutput()
	text, err := os.ReadFile(path)
	if err != nil {
		lines := strings.Split(strings.TrimSpace(string(said)), "\n")
		return nil, errors.Join(playError, errors.New(lines[len(lines)-1]))
	}
	var report Report
	return &report, json.Unmarshal(text, &report)
}

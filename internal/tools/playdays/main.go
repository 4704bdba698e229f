// Command playdays plays days of the bench, each a file of this repository, and prints one line a day.
//
//	go run ./internal/tools/playdays -bench PROGRAM -site FILE -why TEXT bench/days/*.toml
//
// The exit code is 1 where a day broke a rule, had a fault or could not be played.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

type options struct {
	bench, site, why string
	jobs             int
}

// report is what is read of the bench's report of a day.
type report struct {
	Worth  float64                    `json:"G"`
	Served float64                    `json:"served"`
	Fault  any                        `json:"fault"`
	Breaks map[string]json.RawMessage `json:"breaks"`
}

func main() {
	var o options
	flag.StringVar(&o.bench, "bench", "", "the bench's program")
	flag.StringVar(&o.site, "site", "", "the site file")
	flag.StringVar(&o.why, "why", "Do our own days of trouble break a rule?", "for the journal")
	flag.IntVar(&o.jobs, "jobs", 2, "cores to use")
	flag.Parse()
	if o.bench == "" || o.site == "" || flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	broken := 0
	for _, day := range flag.Args() {
		result, err := play(o, day)
		line, fine := describe(day, result, err)
		fmt.Println(line)
		if !fine {
			broken++
		}
	}
	fmt.Printf("%d days, %d of them broke something\n", flag.NArg(), broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// play has the bench play one day and reads its report.
func play(o options, day string) (*report, error) {
	folder, err := os.MkdirTemp("", "playdays-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "report.json")
	command := exec.Command(o.bench, "run", o.site, day, "--jobs", strconv.Itoa(o.jobs), "--report", path, "--why", o.why)
	said, playError := command.CombinedOutput()
	text, err := os.ReadFile(path)
	if err != nil {
		lines := strings.Split(strings.TrimSpace(string(said)), "\n")
		return nil, errors.Join(playError, errors.New(lines[len(lines)-1]))
	}
	var result report
	return &result, json.Unmarshal(text, &result)
}

// describe words a day in one line, and tells whether it broke nothing.
func describe(day string, result *report, err error) (string, bool) {
	name := strings.TrimSuffix(filepath.Base(day), filepath.Ext(day))
	if err != nil {
		return fmt.Sprintf("%-44s not played: %v", name, err), false
	}
	text := fmt.Sprintf("%-44s worth %.3f served %.3f", name, result.Worth, result.Served)
	if result.Fault != nil {
		text += fmt.Sprintf(" fault: %v", result.Fault)
	}
	rules := make([]string, 0, len(result.Breaks))
	for rule, times := range result.Breaks {
		rules = append(rules, fmt.Sprintf("%s %s", rule, times))
	}
	sort.Strings(rules)
	if len(rules) > 0 {
		text += " broken: " + strings.Join(rules, ", ")
	}
	return text, result.Fault == nil && len(rules) == 0
}

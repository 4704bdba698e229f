// Command playdays runs the bench on days that are files of this repository, and prints a line for each.
//
//	go run ./internal/tools/playdays -bench PROGRAM -site FILE -why TEXT bench/days/*.toml
//
// The exit code is 1 if a day violated a rule, had a fault or could not be run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"sprucelane.example/sprucelane/internal/tools/benchrun"
)

// options holds the options of the command line.
type options struct {
	bench, site, why string
	jobs             int // processor cores that the bench may use
}

func main() {
	var o options
	flag.StringVar(&o.bench, "bench", "", "the bench's program")
	flag.StringVar(&o.site, "site", "", "the site file")
	flag.StringVar(&o.why, "why", "Do our own days of faults break a rule?", "for the journal")
	flag.IntVar(&o.jobs, "jobs", 2, "cores to use")
	flag.Parse()
	if o.bench == "" || o.site == "" || flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	failedDays := 0
	for _, day := range flag.Args() {
		report, err := runDay(o, day)
		line, ok := summarize(day, report, err)
		fmt.Println(line)
		if !ok {
			failedDays++
		}
	}
	fmt.Printf("%d days, %d of them broke something\n", flag.NArg(), failedDays)
	if failedDays > 0 {
		os.Exit(1)
	}
}

// runDay runs the bench on one day.
func runDay(o options, day string) (*benchrun.Report, error) {
	return benchrun.Run(o.bench, "", o.site, day, "--jobs", strconv.Itoa(o.jobs), "--why", o.why)
}

// summarize returns the line to print for a day. ok reports whether the day was run without a violation or
// fault.
func summarize(day string, report *benchrun.Report, err error) (line string, ok bool) {
	name := strings.TrimSuffix(filepath.Base(day), filepath.Ext(day))
	if err != nil {
		return fmt.Sprintf("%-44s not played: %v", name, err), false
	}
	text := fmt.Sprintf("%-44s worth %.3f served %.3f", name, report.Score, report.Served)
	if report.Fault != nil {
		text += fmt.Sprintf(" fault: %v", report.Fault)
	}
	rules := make([]string, 0, len(report.RuleViolations))
	for rule, times := range report.RuleViolations {
		rules = append(rules, fmt.Sprintf("%s %s", rule, times))
	}
	sort.Strings(rules)
	if len(rules) > 0 {
		text += " broken: " + strings.Join(rules, ", ")
	}
	return text, report.Fault == nil && len(rules) == 0
}

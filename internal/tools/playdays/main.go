// Command playdays plays days of the bench, each a file of this repository, and prints one line a day.
//
//	go run ./internal/tools/playdays -bench PROGRAM -site FILE -why TEXT bench/days/*.toml
//
// The exit code is 1 where a day broke a rule, had a fault or could not be played.
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

type options struct {
	bench, site, why string
	jobs             int
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
		result, err := runDay(o, day)
		line, fine := summarize(day, result, err)
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

// play has the bench play one day.
func runDay(o options, day string) (*benchrun.Report, error) {
	return benchrun.Run(o.bench, "", o.site, day, "--jobs", strconv.Itoa(o.jobs), "--why", o.why)
}

// describe words a day in one line, and tells whether it broke nothing.
func summarize(day string, result *benchrun.Report, err error) (string, bool) {
	name := strings.TrimSuffix(filepath.Base(day), filepath.Ext(day))
	if err != nil {
		return fmt.Sprintf("%-44s not played: %v", name, err), false
	}
	text := fmt.Sprintf("%-44s worth %.3f served %.3f", name, result.Score, result.Served)
	if result.Fault != nil {
		text += fmt.Sprintf(" fault: %v", result.Fault)
	}
	rules := make([]string, 0, len(result.RuleViolations))
	for rule, times := range result.RuleViolations {
		rules = append(rules, fmt.Sprintf("%s %s", rule, times))
	}
	sort.Strings(rules)
	if len(rules) > 0 {
		text += " broken: " + strings.Join(rules, ", ")
	}
	return text, result.Fault == nil && len(rules) == 0
}

// Command ablate measures what each mechanism is worth: it has the bench play days with all mechanisms on and with each switched off
// alone, on the same seeds, and writes a table of the differences.
//
//	go run ./internal/tools/ablate -bench PROGRAM -site FILE -days scale-1,quiet-1 -seeds 1,2 [-off affinity,told-load] [-lanes 4]
//
// Each play is made in a clone of the last commit whose deploy file builds with the tag ablation; what it leaves in its journal
// is copied into this repository's.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/tools/benchrun"
)

type options struct {
	bench, site, why string
	days, seeds      []string
	mechanisms       []string
	parallel         int
}

// play is one day to be played with a mechanism off, or with all on.
type run struct{ off, day, seed string }

// result is what came of it.
type result struct {
	run
	score  float64
	broken bool // a rule
	err    error
}

func main() {
	var o options
	var days, seeds, off string
	flag.StringVar(&o.bench, "bench", "", "the bench's program")
	flag.StringVar(&o.site, "site", "", "the site file")
	flag.StringVar(&days, "days", "scale-1", "days of the site, with commas between")
	flag.StringVar(&seeds, "seeds", "", "seeds of the days, with commas between; empty: the days' own")
	flag.StringVar(&off, "off", strings.Join(mechanismNames(), ","), "mechanisms to switch off, one at a time")
	flag.IntVar(&o.parallel, "lanes", 4, "plays at the same time")
	flag.StringVar(&o.why, "why", "what is each mechanism worth?", "for the journal")
	flag.Parse()
	if o.bench == "" || o.site == "" || flag.NArg() > 0 || o.parallel < 1 {
		flag.Usage()
		os.Exit(2)
	}
	o.days, o.seeds, o.mechanisms = strings.Split(days, ","), strings.Split(seeds, ","), strings.Split(off, ",")
	if unknown := o.unknownMechanisms(); len(unknown) > 0 {
		fmt.Fprintf(os.Stderr, "-off: no mechanism is named %s; there are %s\n", strings.Join(unknown, ", "), strings.Join(mechanismNames(), ", "))
		os.Exit(2)
	}
	results := runAll(o)
	fmt.Print(table(o, results))
	for _, one := range results {
		if one.err != nil {
			fmt.Fprintf(os.Stderr, "%s of seed %q with [%s] off was not played: %v\n", one.day, one.seed, one.off, one.err)
			os.Exit(1)
		}
	}
}

func mechanismNames() []string {
	var list []string
	for _, one := range ablation.All() {
		list = append(list, string(one))
	}
	return list
}

func (o *options) unknownMechanisms() []string {
	known := map[string]bool{}
	for _, name := range mechanismNames() {
		known[name] = true
	}
	var list []string
	for _, name := range o.mechanisms {
		if !known[name] {
			list = append(list, name)
		}
	}
	return list
}

func (o *options) runs() []run {
	var list []run
	for _, off := range append([]string{""}, o.mechanisms...) {
		for _, day := range o.days {
			for _, seed := range o.seeds {
				list = append(list, run{off: off, day: day, seed: seed})
			}
		}
	}
	return list
}

// playAll makes all plays, some at the same time.
func runAll(o options) []result {
	plays := o.runs()
	results := make([]result, len(plays))
	next := make(chan int)
	var lanes sync.WaitGroup
	for range o.parallel {
		lanes.Go(func() {
			for i := range next {
				results[i] = runOne(o, plays[i])
				fmt.Fprintf(os.Stderr, "%s %s [%s]: %.3f %v\n", plays[i].day, plays[i].seed, plays[i].off, results[i].score, results[i].err)
			}
		})
	}
	for i := range plays {
		next <- i
	}
	close(next)
	lanes.Wait()
	return results
}

// playOne makes one play in a clone of its own.
func runOne(o options, one run) result {
	of := result{run: one}
	folder, err := os.MkdirTemp("", "ablate-")
	if err != nil {
		of.err = err
		return of
	}
	defer os.RemoveAll(folder)
	clone := filepath.Join(folder, "clone")
	if said, err := exec.Command("git", "clone", "--quiet", ".", clone).CombinedOutput(); err != nil {
		of.err = fmt.Errorf("%w: %s", err, said)
		return of
	}
	before, err := journalFiles(clone)
	if err == nil {
		err = switchOff(filepath.Join(clone, "deploy", "system.toml"), one.off)
	}
	if err != nil {
		of.err = err
		return of
	}
	arguments := []string{"--why", fmt.Sprintf("trial, [%s] off: %s", one.off, o.why)}
	if one.seed != "" {
		arguments = append(arguments, "--seed", one.seed)
	}
	report, err := benchrun.Run(o.bench, clone, o.site, one.day, arguments...)
	if err != nil {
		of.err = err
		return of
	}
	of.score, of.broken = report.Score, len(report.RuleViolations) > 0
	of.err = copyNewJournalFiles(clone, before)
	return of
}

const buildFlags = "-ldflags=-linkmode=external"

// switchOff has a deploy file build with a mechanism off.
func switchOff(deploy, off string) error {
	text, err := os.ReadFile(deploy)
	if err != nil {
		return err
	}
	if strings.Count(string(text), buildFlags) != 1 {
		return fmt.Errorf("%s: the build line doesn't have %s once", deploy, buildFlags)
	}
	flags := fmt.Sprintf("-tags ablation -ldflags='-linkmode=external -X sprucelane.example/sprucelane/internal/ablation.off=%s'", off)
	return os.WriteFile(deploy, []byte(strings.Replace(string(text), buildFlags, flags, 1)), 0o600)
}

// entries lists the journal's files.
func journalFiles(folder string) (map[string]bool, error) {
	found := map[string]bool{}
	for _, pattern := range []string{"journal/*.json", "journal/*/*"} {
		paths, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil {
			return nil, err
		}
		for _, path := range paths {
			found[path] = true
		}
	}
	return found, nil
}

// keepEntries copies what a play left in its journal.
func copyNewJournalFiles(clone string, before map[string]bool) error {
	after, err := journalFiles(clone)
	if err != nil {
		return err
	}
	for path := range after {
		if before[path] {
			continue
		}
		name, err := filepath.Rel(clone, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(name, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

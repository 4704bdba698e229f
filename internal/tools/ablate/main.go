// Command ablate measures what each mechanism contributes to the bench's score: the bench runs days with
// all mechanisms on, and with one mechanism at a time switched off, on the same seeds, and prints a table of the
// differences.
//
//	go run ./internal/tools/ablate -bench PROGRAM -site FILE -days scale-1,quiet-1 -seeds 1,2 \
//		[-off affinity,told-load] [-lanes 4]
//
// Each run is made in a clone of the last commit, whose deploy file is changed to build with the tag ablation
// (see internal/ablation). Files that a run adds to the journal of its clone are copied into the journal of
// this repository.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"

	"sprucelane.example/sprucelane/internal/ablation"
)

// options holds the options of the command line.
type options struct {
	bench, site, why string
	days, seeds      []string
	mechanisms       []string // to switch off, one at a time
	parallel         int      // runs at the same time
}

// run is one run of a day with a mechanism switched off, or with all mechanisms on if off is empty.
type run struct{ off, day, seed string }

// result is the result of a run.
type result struct {
	run
	score        float64
	ruleViolated bool // the bench found that a rule was violated
	err          error
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
		fmt.Fprintf(os.Stderr, "-off: no mechanism is named %s; there are %s\n", strings.Join(unknown, ", "),
			strings.Join(mechanismNames(), ", "))
		os.Exit(2)
	}
	results := runAll(o)
	fmt.Print(table(o, results))
	for _, r := range results {
		if r.err != nil {
			fmt.Fprintf(os.Stderr, "%s of seed %q with [%s] off was not played: %v\n", r.day, r.seed, r.off, r.err)
			os.Exit(1)
		}
	}
}

// mechanismNames returns the names of all mechanisms that can be switched off.
func mechanismNames() []string {
	var list []string
	for _, mechanism := range ablation.All() {
		list = append(list, string(mechanism))
	}
	return list
}

// unknownMechanisms returns the names in the options that are not names of mechanisms.
func (o *options) unknownMechanisms() []string {
	known := mechanismNames()
	var list []string
	for _, name := range o.mechanisms {
		if !slices.Contains(known, name) {
			list = append(list, name)
		}
	}
	return list
}

// runs returns all runs; those with all mechanisms on come first.
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

// runAll makes all runs, up to o.parallel at the same time, and prints each result when its run ends.
func runAll(o options) []result {
	runs := o.runs()
	results := make([]result, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range o.parallel {
		workers.Go(func() {
			for i := range next {
				results[i] = runOne(o, runs[i])
				fmt.Fprintf(os.Stderr, "%s %s [%s]: %.3f %v\n", runs[i].day, runs[i].seed, runs[i].off,
					results[i].score, results[i].err)
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is a line of go test -json; see go doc test2json.
type event struct {
	Action     string
	Package    string
	ImportPath string // of build events
	Test       string
	Output     string
}

// results are what the tests of all packages came to.
type results struct {
	outcomes   map[testName]string // pass, fail or skip
	packages   map[string]*packageResult
	failedRuns int // of go test
}

func newResults() *results {
	return &results{outcomes: map[testName]string{}, packages: map[string]*packageResult{}}
}

type packageResult struct {
	failed      bool
	ranToEnd    bool // its program ended by itself with the failures told, so that no test went unrun
	failedTests []testName
	lastLine    string // the last line of the package that belongs to no test
}

// What a program prints last after it ran all its tests and had failures, and go test's line after it. A panic, a timeout, a
// signal and an exit within a test end the program with other words, and leave tests unrun.
const (
	failSummary         = "FAIL\n"
	failedPackagePrefix = "FAIL\t"
)

// read takes the events of one run in, and prints what go test would: a line a package, and the output of tests that failed.
func (r *results) read(from io.Reader, out io.Writer) error {
	held := map[testName]*strings.Builder{} // output of tests whose end isn't known
	decoder := json.NewDecoder(bufio.NewReader(from))
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			r.printUnfinished(held, out)
			return nil
		}
		if err != nil {
			return fmt.Errorf("go test -json: %w", err)
		}
		r.record(e, held, out)
	}
}

func (r *results) record(e event, held map[testName]*strings.Builder, out io.Writer) {
	if e.Action == "build-output" {
		fmt.Fprint(out, e.Output)
		return
	}
	if e.Package == "" {
		return
	}
	if e.Test == "" {
		r.recordPackage(e, out)
		return
	}
	top, _, _ := strings.Cut(e.Test, "/")
	name := testName{e.Package, top}
	if e.Action == "output" {
		if held[name] == nil {
			held[name] = &strings.Builder{}
		}
		held[name].WriteString(e.Output)
		return
	}
	if e.Test != top || !isTerminal(e.Action) {
		return
	}
	r.outcomes[name] = e.Action
	if e.Action == "fail" {
		r.packageResultOf(e.Package).failedTests = append(r.packageResultOf(e.Package).failedTests, name)
		fmt.Fprint(out, outputOf(held, name))
	}
	delete(held, name)
}

func (r *results) recordPackage(e event, out io.Writer) {
	switch e.Action {
	case "output":
		p := r.packageResultOf(e.Package)
		if strings.HasPrefix(e.Output, failedPackagePrefix) {
			p.ranToEnd = p.lastLine == failSummary
		}
		p.lastLine = e.Output
		if e.Output != "PASS\n" && e.Output != failSummary {
			fmt.Fprint(out, e.Output)
		}
	case "fail":
		r.packageResultOf(e.Package).failed = true
	case "pass", "skip":
		r.packageResultOf(e.Package)
	}
}

// printHeld prints what tests without an end said, as those that hung did.
func (r *results) printUnfinished(held map[testName]*strings.Builder, out io.Writer) {
	for name, text := range held {
		fmt.Fprintf(out, "%s didn't end:\n%s", name, text)
	}
}

func outputOf(held map[testName]*strings.Builder, name testName) string {
	if text := held[name]; text != nil {
		return text.String()
	}
	return ""
}

func (r *results) packageResultOf(path string) *packageResult {
	if r.packages[path] == nil {
		r.packages[path] = &packageResult{}
	}
	return r.packages[path]
}

func isTerminal(action string) bool { return action == "pass" || action == "fail" || action == "skip" }

// judge tells what stands against the runs.
func (r *results) judge(known []knownFailure, out io.Writer) error {
	listed := map[testName]bool{}
	var faults []error
	for _, one := range known {
		listed[one.testName] = true
		switch r.outcomes[one.testName] {
		case "fail":
			fmt.Fprintf(out, "known red: %s | %s | %s\n", one.testName, one.Cause, one.Issue)
		case "pass":
			fmt.Fprintf(out, "%s passes: its line in %s can go\n", one.testName, knownFailuresFile)
		default:
			faults = append(faults, fmt.Errorf("%s: %s didn't run", knownFailuresFile, one.testName))
		}
	}
	redPackages := 0
	for path, p := range r.packages {
		if !p.failed {
			continue
		}
		redPackages++
		faults = append(faults, p.problems(path, listed)...)
	}
	if len(r.packages) == 0 {
		faults = append(faults, errors.New("no package was tested"))
	}
	if r.failedRuns > 0 && redPackages == 0 {
		faults = append(faults, errors.New("go test failed without a failed package"))
	}
	return errors.Join(faults...)
}

func (p *packageResult) problems(path string, listed map[testName]bool) []error {
	var faults []error
	for _, name := range p.failedTests {
		if !listed[name] {
			faults = append(faults, fmt.Errorf("red: %s", name))
		}
	}
	if len(p.failedTests) == 0 || !p.ranToEnd {
		faults = append(faults, fmt.Errorf("red: %s didn't build or didn't run to its end", path))
	}
	return faults
}

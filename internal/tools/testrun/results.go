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
	ImportPath string // set in build events
	Test       string
	Output     string
}

// The actions of events that are handled here.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// isTerminal reports whether an action ends a test.
func isTerminal(action string) bool {
	return action == actionPass || action == actionFail || action == actionSkip
}

// results holds the results of all packages, from one or more runs of go test.
type results struct {
	outcomes   map[testName]string // the terminal action of each test
	packages   map[string]*packageResult
	failedRuns int // runs of go test that exited with an error
}

func newResults() *results {
	return &results{outcomes: map[testName]string{}, packages: map[string]*packageResult{}}
}

// packageResult is the result of one package.
type packageResult struct {
	failed bool
	// ranToEnd is set if the test program ended by itself and reported the failures, so that all tests ran.
	ranToEnd    bool
	failedTests []testName
	lastLine    string // the last line of output that belongs to no test
}

// A test program prints failSummary last, after it ran all its tests and some failed; go test adds a line
// that begins with failedPackagePrefix. After a panic, a timeout, a signal or an exit within a test the last
// line is another one, and tests may not have run.
const (
	failSummary         = "FAIL\n"
	passSummary         = "PASS\n"
	failedPackagePrefix = "FAIL\t"
)

// pendingOutput is the output of tests that haven't ended.
type pendingOutput map[testName]*strings.Builder

func (p pendingOutput) add(name testName, text string) {
	if p[name] == nil {
		p[name] = &strings.Builder{}
	}
	p[name].WriteString(text)
}

// take returns the output of a test, and removes it.
func (p pendingOutput) take(name testName) string {
	text := p[name]
	delete(p, name)
	if text == nil {
		return ""
	}
	return text.String()
}

// read records the events of one run, and prints what go test without -json would: a line for each package,
// and the output of tests that failed or didn't end.
func (r *results) read(from io.Reader, out io.Writer) error {
	pending := pendingOutput{}
	decoder := json.NewDecoder(bufio.NewReader(from))
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			for name, text := range pending {
				fmt.Fprintf(out, "%s didn't end:\n%s", name, text)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("go test -json: %w", err)
		}
		r.record(e, pending, out)
	}
}

// record records one event.
func (r *results) record(e event, pending pendingOutput, out io.Writer) {
	switch {
	case e.Action == actionBuildOutput:
		fmt.Fprint(out, e.Output)
	case e.Package == "":
	case e.Test == "":
		r.recordPackage(e, out)
	default:
		r.recordTest(e, pending, out)
	}
}

// recordTest records an event of a test. The output of subtests counts as that of their top-level test.
func (r *results) recordTest(e event, pending pendingOutput, out io.Writer) {
	top, _, _ := strings.Cut(e.Test, "/")
	name := testName{e.Package, top}
	if e.Action == actionOutput {
		pending.add(name, e.Output)
		return
	}
	if e.Test != top || !isTerminal(e.Action) {
		return
	}
	r.outcomes[name] = e.Action
	output := pending.take(name)
	if e.Action == actionFail {
		p := r.packageResultOf(e.Package)
		p.failedTests = append(p.failedTests, name)
		fmt.Fprint(out, output)
	}
}

// recordPackage records an event that belongs to a package, but to no test of it.
func (r *results) recordPackage(e event, out io.Writer) {
	switch e.Action {
	case actionOutput:
		p := r.packageResultOf(e.Package)
		if strings.HasPrefix(e.Output, failedPackagePrefix) {
			p.ranToEnd = p.lastLine == failSummary
		}
		p.lastLine = e.Output
		if e.Output != passSummary && e.Output != failSummary {
			fmt.Fprint(out, e.Output)
		}
	case actionFail:
		r.packageResultOf(e.Package).failed = true
	case actionPass, actionSkip:
		r.packageResultOf(e.Package)
	}
}

func (r *results) packageResultOf(path string) *packageResult {
	if r.packages[path] == nil {
		r.packages[path] = &packageResult{}
	}
	return r.packages[path]
}

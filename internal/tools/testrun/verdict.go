package main

import (
	"errors"
	"fmt"
	"io"
)

// judge returns an error for each unlisted failure and each listed test that didn't run, and if no package was
// tested or go test failed without a failed package. It prints the listed tests that failed or passed.
func (r *results) judge(known []knownFailure, out io.Writer) error {
	listed := map[testName]bool{}
	var problems []error
	for _, failure := range known {
		listed[failure.testName] = true
		switch r.outcomes[failure.testName] {
		case actionFail:
			fmt.Fprintf(out, "known red: %s | %s | %s\n", failure.testName, failure.Cause, failure.Issue)
		case actionPass:
			fmt.Fprintf(out, "%s passes: its line in %s can go\n", failure.testName, knownFailuresFile)
		default:
			problems = append(problems, fmt.Errorf("%s: %s didn't run", knownFailuresFile, failure.testName))
		}
	}
	failedPackages := 0
	for path, p := range r.packages {
		if p.failed {
			failedPackages++
			problems = append(problems, p.problems(path, listed)...)
		}
	}
	if len(r.packages) == 0 {
		problems = append(problems, errors.New("no package was tested"))
	}
	if r.failedRuns > 0 && failedPackages == 0 {
		problems = append(problems, errors.New("go test failed without a failed package"))
	}
	return errors.Join(problems...)
}

// problems returns an error for each failed test of a failed package that isn't listed, and an error if the
// package didn't build or didn't run to its end, so that tests were left out.
func (p *packageResult) problems(path string, listed map[testName]bool) []error {
	var problems []error
	for _, name := range p.failedTests {
		if !listed[name] {
			problems = append(problems, fmt.Errorf("red: %s", name))
		}
	}
	if len(p.failedTests) == 0 || !p.ranToEnd {
		problems = append(problems, fmt.Errorf("red: %s didn't build or didn't run to its end", path))
	}
	return problems
}

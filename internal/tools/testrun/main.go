// Command testrun runs go test on packages and reports the result, with an exception for tests that are known
// to fail.
//
//	go run ./internal/tools/testrun [-alone PATTERN]... PATTERN [flags of go test]
//	go run ./internal/tools/testrun -alone ./internal/lab/... ./... -race -timeout 10m
//
// The packages of PATTERN are tested in parallel, except for those that match an -alone PATTERN: these start
// processes and have time limits in real time, so they are tested afterwards, one at a time. Everything after
// PATTERN is passed to go test.
//
// KNOWN-RED.txt in the current folder, which may be missing or empty, lists tests that may fail, one per line:
// "package TestName | cause | issue". Listed tests that fail are printed. Listed tests that pass are
// printed too, because their lines can be removed.
//
// Exit code 0: every package passed, or only listed tests failed. Exit code 1: anything else failed, a
// package didn't build or run to its end, or the list names a test that didn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// knownFailuresFile lists the tests that may fail.
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	known, err := readKnownFailures(knownFailuresFile)
	if err == nil {
		err = run(known, os.Args[1:])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var errUsage = errors.New("usage: testrun [-alone PATTERN]... PATTERN [flags of go test]")

// run tests all packages. It returns an error if anything but listed tests failed, or a listed test didn't run.
func run(known []knownFailure, arguments []string) error {
	var alonePatterns []string
	for len(arguments) >= 2 && arguments[0] == "-alone" {
		alonePatterns = append(alonePatterns, arguments[1])
		arguments = arguments[2:]
	}
	if len(arguments) == 0 || strings.HasPrefix(arguments[0], "-") {
		return errUsage
	}
	pattern, flags := arguments[0], arguments[1:]
	parallel, alone, err := splitPackages(pattern, alonePatterns)
	if err != nil {
		return err
	}
	results := newResults()
	if err := results.test(slices.Concat(flags, parallel)); err != nil {
		return err
	}
	if len(alone) > 0 {
		if err := results.test(slices.Concat([]string{"-p", "1"}, flags, alone)); err != nil {
			return err
		}
	}
	return results.judge(known, os.Stdout)
}

// splitPackages returns the packages of a pattern that are tested in parallel, and those that are tested alone.
func splitPackages(pattern string, alonePatterns []string) (parallel, alone []string, err error) {
	all, err := listPackages(pattern)
	if err != nil || len(alonePatterns) == 0 {
		return all, nil, err
	}
	if alone, err = listPackages(alonePatterns...); err != nil {
		return nil, nil, err
	}
	parallel = slices.DeleteFunc(all, func(path string) bool { return slices.Contains(alone, path) })
	return parallel, alone, nil
}

// listPackages returns the import paths that match patterns. It returns an error if no package matches.
func listPackages(patterns ...string) ([]string, error) {
	command := exec.Command("go", append([]string{"list"}, patterns...)...)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	paths := strings.Fields(string(output))
	if len(paths) == 0 {
		return nil, fmt.Errorf("no package matches %v", patterns)
	}
	return paths, nil
}

// test runs go test once and records its results. It returns an error if go test can't be started
// or its events can't be read; failed tests are recorded in the results only.
func (r *results) test(arguments []string) error {
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	readError := r.read(events, os.Stdout)
	if command.Wait() != nil {
		r.failedRuns++
	}
	return readError
}

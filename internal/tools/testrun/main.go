// Command testrun runs go test and tells its result, and knows the tests that are known to be red.
//
//	go run ./internal/tools/testrun [-alone PATTERN]... PATTERN -race -timeout 10m
//
// The packages of PATTERN are tested side by side, but for those that match an -alone PATTERN: these start processes and are
// held to the clock, so they follow, one at a time. What comes after the patterns goes to go test as it is.
//
// KNOWN-RED.txt in the current folder, which may be absent or empty, lists tests that may fail, one a line:
// "package TestName | cause | issue". Exit 0: every package passed, or only listed tests failed. Exit 1: anything else failed, or
// the list names a test that didn't run. A listed test that passes is named, for its line is to go.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

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

// run tests all packages and judges them together.
func run(known []knownFailure, arguments []string) error {
	var alone []string
	for len(arguments) >= 2 && arguments[0] == "-alone" {
		alone = append(alone, arguments[1])
		arguments = arguments[2:]
	}
	if len(arguments) == 0 || strings.HasPrefix(arguments[0], "-") {
		return errUsage
	}
	together, one, err := splitPackages(arguments[0], alone)
	if err != nil {
		return err
	}
	results := newResults()
	if err := results.test(append(arguments[1:], together...)); err != nil {
		return err
	}
	if len(one) > 0 {
		if err := results.test(append(append([]string{"-p", "1"}, arguments[1:]...), one...)); err != nil {
			return err
		}
	}
	return results.judge(known, os.Stdout)
}

// divide gives the packages of a pattern that are tested side by side, and those that are tested alone.
func splitPackages(pattern string, alone []string) (together, one []string, err error) {
	all, err := listPackages(pattern)
	if err != nil || len(alone) == 0 {
		return all, nil, err
	}
	if one, err = listPackages(alone...); err != nil {
		return nil, nil, err
	}
	together = slices.DeleteFunc(all, func(path string) bool { return slices.Contains(one, path) })
	return together, one, nil
}

func listPackages(patterns ...string) ([]string, error) {
	command := exec.Command("go", append([]string{"list"}, patterns...)...)
	command.Stderr = os.Stderr
	text, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	paths := strings.Fields(string(text))
	if len(paths) == 0 {
		return nil, fmt.Errorf("no package matches %v", patterns)
	}
	return paths, nil
}

// test runs go test once and takes its results in.
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

package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// testName names a top-level test. Its subtests count as part of it.
type testName struct{ Package, Test string }

func (n testName) String() string { return n.Package + " " + n.Test }

// knownFailure is a line of knownFailuresFile: a test that may fail, the cause and the issue.
type knownFailure struct {
	testName
	Cause, Issue string
}

// readKnownFailures reads the list. A missing file is an empty list.
func readKnownFailures(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnownFailures(path, string(text))
}

func parseKnownFailures(path, text string) ([]knownFailure, error) {
	var list []knownFailure
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		failure, ok := parseKnownFailure(line)
		if !ok {
			return nil, fmt.Errorf("%s:%d: not of the form: package TestName | cause | issue", path, i+1)
		}
		list = append(list, failure)
	}
	return list, nil
}

// parseKnownFailure parses a line. It returns false if one of the three columns is missing or empty, or if the
// line names a subtest.
func parseKnownFailure(line string) (knownFailure, bool) {
	columns := strings.Split(line, "|")
	if len(columns) != 3 {
		return knownFailure{}, false
	}
	name := strings.Fields(columns[0])
	cause, issue := strings.TrimSpace(columns[1]), strings.TrimSpace(columns[2])
	if len(name) != 2 || strings.Contains(name[1], "/") || cause == "" || issue == "" {
		return knownFailure{}, false
	}
	return knownFailure{testName{name[0], name[1]}, cause, issue}, true
}

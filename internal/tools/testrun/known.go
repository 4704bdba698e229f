package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// testName names a top-level test; its subtests count as it.
type testName struct{ Package, Test string }

func (n testName) String() string { return n.Package + " " + n.Test }

// knownRed is one line of the list.
type knownRed struct {
	testName
	Cause, Issue string
}

func readKnown(path string) ([]knownRed, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnown(path, string(text))
}

func parseKnown(path, text string) ([]knownRed, error) {
	var list []knownRed
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		one, ok := parseKnownLine(line)
		if !ok {
			return nil, fmt.Errorf("%s:%d: not of the form: package TestName | cause | issue", path, i+1)
		}
		list = append(list, one)
	}
	return list, nil
}

func parseKnownLine(line string) (knownRed, bool) {
	columns := strings.Split(line, "|")
	if len(columns) != 3 {
		return knownRed{}, false
	}
	name := strings.Fields(columns[0])
	cause, issue := strings.TrimSpace(columns[1]), strings.TrimSpace(columns[2])
	if len(name) != 2 || strings.Contains(name[1], "/") || cause == "" || issue == "" {
		return knownRed{}, false
	}
	return knownRed{testName{name[0], name[1]}, cause, issue}, true
}

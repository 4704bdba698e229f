// Command testrun runs go test and tells its result, and knows the tests that are known to be red.
//
//	go run ./internal/tools/testrun -race -timeout 10m ./...
//
// All arguments are go test's. KNOWN-RED.txt in the current folder, which may be absent or empty, lists tests that may fail,
// one a line: "package TestName | cause | issue". Exit 0: every package passed, or only listed tests failed. Exit 1: anything
// else failed, or the list names a test that didn't run. A listed test that passes is named, for its line is to go.
package main

import (
	"fmt"
	"os"
	"os/exec"
)

const listName = "KNOWN-RED.txt"

func main() {
	known, err := readKnown(listName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := run(known, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(known []knownRed, arguments []string) error {
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	results, readError := readResults(events, os.Stdout)
	waitError := command.Wait()
	if readError != nil {
		return readError
	}
	return results.judge(known, waitError != nil, os.Stdout)
}

// Package programs builds programs of this module for tests that start them as processes.
package programs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
)

// commands is the import path of the folder of all programs.
const commandsPath = "sprucelane.example/sprucelane/cmd/"

// FaultInjection is the flag of go build for programs that can be cut off from each other, see coord/transport/partition.
const FaultInjection = "-tags=faultinjection"

// Tests are all tests of a package, as testing.M runs them.
type TestRunner interface{ Run() int }

// Run builds programs into a folder of their own, which it tells before the tests run and removes after them. It gives the exit code.
// Names that begin with a dash are flags of go build.
func Run(tests TestRunner, tell func(folder string), names ...string) int {
	folder, err := os.MkdirTemp("", "sprucelane-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	if err := Build(folder, names...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	tell(folder)
	return tests.Run()
}

// Build builds programs into a folder. Names that begin with a dash are flags of go build.
func Build(folder string, names ...string) error {
	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, name := range slices.Sorted(slices.Values(names)) { // flags first
		if name[0] != '-' {
			name = commandsPath + name
		}
		arguments = append(arguments, name)
	}
	text, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %v: %w: %s", names, err, text)
	}
	return nil
}

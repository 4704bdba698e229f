// Package programs builds programs of this module for tests that start them as processes.
//
// A test package builds what it needs once, in TestMain:
//
//	func TestMain(m *testing.M) {
//		os.Exit(programs.Run(m, func(folder string) { built = folder }, "sprucelane-gateway"))
//	}
package programs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
)

// commandsPath is the import path under which all programs are.
const commandsPath = "sprucelane.example/sprucelane/cmd/"

// FaultInjection is the flag of go build for programs that can be partitioned from each other; see
// coord/transport/partition.
const FaultInjection = "-tags=faultinjection"

// TestRunner runs all tests of a package; *testing.M is one.
type TestRunner interface{ Run() int }

// Run builds programs into a temporary folder, passes its path to setFolder, runs the tests, and removes the
// folder. It returns the exit code: 1 where the programs can't be built. Names that begin with a dash are
// flags of go build.
func Run(tests TestRunner, setFolder func(folder string), names ...string) int {
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
	setFolder(folder)
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
	output, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("programs: build %v: %w: %s", names, err, output)
	}
	return nil
}

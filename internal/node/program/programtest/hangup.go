// Package programtest has programs run in processes of their own, for the tests of their mains. It must never be linked into a
// program.
package programtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"sprucelane.example/sprucelane/internal/node"
)

// runVariable tells a process of a test that it is the program.
const runVariable = "SPRUCELANE_TEST_RUNS_MAIN"

// Main runs a package's tests, or its program where this process was started for that.
func Main(m *testing.M, run func(arguments []string) int) {
	if os.Getenv(runVariable) != "" {
		os.Exit(run(nil))
	}
	os.Exit(m.Run())
}

// ExitAfterEarlySignals starts the program with settings that it can't use, sends it signals while it reads them, and gives its
// exit code, or -1 where a signal has ended it. The settings file is a pipe: who opens it for writing waits until the program
// has opened it for reading, and the program waits for what is written.
func ExitAfterEarlySignals(t *testing.T, signals ...syscall.Signal) int {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.conf")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	program := exec.Command(self)
	program.Env = append(os.Environ(), runVariable+"=1", node.SettingsVariable+"="+path)
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range signals {
		if err := program.Process.Signal(one); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = settings.WriteString("ip=nowhere\n") // nobody reads it any more where a signal has ended the program
	_ = settings.Close()
	_ = program.Wait()
	return program.ProcessState.ExitCode()
}

// Package programtest runs programs in separate processes, for tests of their main functions. Only tests import
// it.
package programtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"sprucelane.example/sprucelane/internal/node"
)

// runVariable is the environment variable that makes a test binary run the program instead of the tests.
const runVariable = "SPRUCELANE_TEST_RUNS_MAIN"

// Main runs the tests of a package, or its program if ExitAfterEarlySignals has started this process. It is
// called by TestMain, and doesn't return.
func Main(m *testing.M, run func(arguments []string) int) {
	if os.Getenv(runVariable) != "" {
		os.Exit(run(nil))
	}
	os.Exit(m.Run())
}

// ExitAfterEarlySignals starts the program with invalid settings, sends it signals while it reads the settings, and
// returns its exit code, or -1 if a signal has killed it. The settings file is a named pipe, which orders the events
// without sleeps: opening it for writing blocks until the program has opened it for reading, and the program then
// blocks until something is written.
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
	for _, signal := range signals {
		if err := program.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = settings.WriteString("ip=nowhere\n") // fails if a signal has killed the program, which the exit code shows
	_ = settings.Close()
	_ = program.Wait()
	return program.ProcessState.ExitCode()
}

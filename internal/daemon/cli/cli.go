// Package cli has code that the project's commands share: flags with defaults from environment variables, exit codes,
// and the program's version.
package cli

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// ExitUsage is the exit code for invalid flags, environment variables or configuration. Other failures exit with 1.
const ExitUsage = 2

// ExitError is an error that determines the exit code of the program.
type ExitError struct {
	Code int
	Err  error
}

func (e ExitError) Error() string { return e.Err.Error() }
func (e ExitError) Unwrap() error { return e.Err }

// Main runs a command and returns its exit code: 0, the code of an [ExitError], or 1 for other errors. It calls report
// with the error.
func Main(root *cobra.Command, report func(error)) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return ExitError{ExitUsage, err} })
	err := root.Execute()
	if err == nil {
		return 0
	}
	report(err)
	var exit ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return 1
}

// EnvFlags returns a PersistentPreRunE that sets flags of a command, including inherited ones, from their environment
// variables ([EnvName]). It skips flags that are given on the command line and variables that are empty.
func EnvFlags(prefix string, getenv func(string) string) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		var first error
		cmd.Flags().VisitAll(func(f *pflag.Flag) {
			name := EnvName(prefix, f.Name)
			if text := getenv(name); text != "" && !f.Changed && first == nil {
				if err := cmd.Flags().Set(f.Name, text); err != nil {
					first = ExitError{ExitUsage, fmt.Errorf("%s: %w", name, err)}
				}
			}
		})
		return first
	}
}

// EnvName returns the name of a flag's environment variable: PREFIX_ and the flag's name in capitals, with _ for -.
func EnvName(prefix, flag string) string {
	return prefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Version returns the module's version, the revision if the build has recorded it, and the Go version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}

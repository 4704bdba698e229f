// Package cli owns what the project's commands share: flags that environment variables may set, exit codes, and the
// program's version. It must never do a command's work.
package cli

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Coded is an error with the exit code that it ends the program with.
type ExitError struct {
	Code int
	Err  error
}

func (c ExitError) Error() string { return c.Err.Error() }
func (c ExitError) Unwrap() error { return c.Err }

// Exit codes beside 0 and 1.
const (
	ExitUsage = 2 // what was given can't be used: flags, environment or configuration
)

// Main runs a command and gives its exit code. An error is printed in one place, by report.
func Main(root *cobra.Command, report func(error)) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return ExitError{ExitUsage, err} })
	err := root.Execute()
	if err == nil {
		return 0
	}
	report(err)
	if coded := (ExitError{}); errors.As(err, &coded) {
		return coded.Code
	}
	return 1
}

// Env lets every flag of a command and of those below it be set by the environment too: PREFIX_ and the flag's name
// in capitals, with _ for -. A flag on the command line wins. It comes before the command runs.
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

// EnvName names the variable of a flag.
func EnvName(prefix, flag string) string {
	return prefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Version tells the module's version and, where the build knew it, its revision.
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

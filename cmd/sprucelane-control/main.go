// Command sprucelane-control runs a process of the control plane (internal/control). Together with the other
// control processes it keeps the operator's configuration and the store membership. It serves the operator's
// API, reads the platform's list of servers, and sends gateways and batch processes the data that they need.
//
// The exit code is 0 after SIGTERM, 1 if the process can't start, and 2 if flags or settings are invalid.
// It reads the settings file again on SIGHUP and when the file has changed.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/control"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/program"
)

// Limits of the Go runtime's memory. The process's memory is paid for, so the heap may grow by 50 % between two
// collections, not by Go's default of 100 %, and the collector works harder the closer the heap is to the limit.
const (
	gcPercent          = 50 // as GOGC
	memoryLimitPercent = 60 // of limits.memory-mb, as GOMEMLIMIT
)

// arguments are the command's flags.
type arguments struct {
	Settings string `long:"settings" env:"SPRUCELANE_SETTINGS" value-name:"FILE" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings, tell every finding, and end with 2 where there is one"`
	LogLevel string `long:"log-level" env:"SPRUCELANE_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command with its arguments and returns the exit code.
func run(args []string) int {
	signals := program.CatchSignals()
	var given arguments
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Keeps the configuration of a sprucelane system " +
		"and tells its gateways and batch processes what they need.\n" +
		"SIGTERM hands over and ends; SIGHUP reads the settings file again."
	if _, err := parser.ParseArgs(args); err != nil {
		return exitAfterParse(err)
	}
	settings, err := load(given.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return program.ExitUsage
	}
	if given.Check {
		fmt.Println("the settings are in order")
		return program.ExitOK
	}
	return serve(settings, given, signals)
}

// exitAfterParse prints the help text or the error with which parsing the flags ended, and returns the exit
// code: 0 after --help.
func exitAfterParse(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return program.ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return program.ExitUsage
}

// serve runs the control process until it is terminated, and returns the exit code.
func serve(settings *node.Settings, given arguments, signals *program.Signals) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.Limits.MemoryMB) << 20 * memoryLimitPercent / 100)
	log := node.NewLogger(settings, given.LogLevel)
	process, err := control.Start(control.Options{Settings: settings, Log: log})
	if err != nil {
		log.Error().Err(err).Msg("start_failed")
		return program.ExitFailed
	}
	watch(process, given.Settings, signals, log)
	process.Stop()
	return program.ExitOK
}

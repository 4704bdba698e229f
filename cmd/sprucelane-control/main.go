// Command sprucelane-control is a process of the control plane (internal/control): with the other control
// processes it keeps the operator's configuration and the store membership, serves the operator's API, reads
// the platform's list of servers, and sends gateways and batch processes what they need.
//
// The exit code is 0 after SIGTERM, 1 if the process can't start, and 2 if flags or settings are invalid.
// SIGHUP makes it read the settings file again, as does a change of the file.
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

// Limits of the Go runtime's memory. The process's memory is paid for, so the heap may grow by half, not by
// all, between two collections, and the collector works harder the closer the heap comes to the limit.
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

// run runs the command and returns its exit code.
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

// exitAfterParse returns the exit code when the flags don't ask for a start: 0 after --help.
func exitAfterParse(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return program.ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return program.ExitUsage
}

// serve runs the control process until it is terminated.
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

// Package program starts the programs of gateways and batch processes: signals, flags, the settings file, the
// log and the bounds of the heap. It doesn't know what a role does. A main calls CatchSignals first, then
// Begin, and Reload on SIGHUP. Command sprucelane-control has flags of its own, and uses only the signals and
// exit codes.
package program

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/node"
)

// Exit codes of a program.
const (
	ExitOK     = 0
	ExitFailed = 1 // the process can't start or serve
	ExitUsage  = 2 // flags or settings are invalid
)

const (
	// gcPercent is GOGC: the growth of the heap, in percent, after which it is collected. It is below Go's
	// default of 100, as memory is scarcer on these machines than processor time.
	gcPercent = 50
	// memoryShare is the part of limits.memory-mb that is the heap's soft limit (GOMEMLIMIT). The rest is for
	// what the limit doesn't cover.
	memoryShare = 0.7
)

// options are the command line's flags.
type options struct {
	Check    bool   `long:"check" description:"check the settings, report all findings and exit"`
	LogLevel string `long:"log-level" env:"SPRUCELANE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Program is a program that has been set up to run.
type Program struct {
	Settings *node.Settings
	Log      zerolog.Logger

	check func(*node.Settings) error // what the role requires of its settings
}

// Begin parses flags and loads the settings, which check validates for the role. If the program is not to
// run, because of invalid input, --help or --check, it returns nil and the exit code.
func Begin(arguments []string, check func(*node.Settings) error) (*Program, int) {
	var opt options
	parser := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The settings file is named by the environment variable " + node.SettingsVariable + "."
	if _, err := parser.ParseArgs(arguments); err != nil {
		return nil, reportUsage(err)
	}
	p := &Program{check: check}
	settings, err := p.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, ExitUsage
	}
	if opt.Check {
		return nil, ExitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	p.Settings = settings
	p.Log = node.NewLogger(settings, opt.LogLevel)
	return p, ExitOK
}

// reportUsage prints an error of the command line, or the help, and gives the exit code.
func reportUsage(err error) int {
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(err)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return ExitUsage
}

// Load reads and validates the settings file as it is now.
func (p *Program) Load() (*node.Settings, error) {
	settings, err := node.Load()
	if err != nil {
		return nil, err
	}
	return settings, p.check(settings)
}

// Reload loads the settings again and calls apply with them. A file with findings is logged and changes
// nothing.
func (p *Program) Reload(apply func(*node.Settings)) {
	settings, err := p.Load()
	if err != nil {
		p.Log.Error().Err(err).Msg("reload_failed")
		return
	}
	apply(settings)
	p.Log.Info().Msg("settings_reloaded")
}

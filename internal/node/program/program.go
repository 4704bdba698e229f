// Package program sets up the programs of gateways and batch processes: signals, flags, the settings file, the
// log and the limits of the heap. It has no code of a single role. A main function calls CatchSignals first, then
// Begin, and Reload on SIGHUP. The command sprucelane-control has different flags, and uses only the signals and
// exit codes of this package.
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
	// gcPercent is the value of GOGC: the growth of the heap, in percent, that triggers a collection. It is below
	// Go's default of 100, as memory is scarcer on these machines than processor time.
	gcPercent = 50
	// memoryShare is the share of limits.memory-mb that is set as Go's soft memory limit (GOMEMLIMIT). The rest
	// is for memory that this limit doesn't cover.
	memoryShare = 0.7
)

// options are the flags of the command line.
type options struct {
	Check    bool   `long:"check" description:"check the settings, report all findings and exit"`
	LogLevel string `long:"log-level" env:"SPRUCELANE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Program is a program that has been set up to run.
type Program struct {
	Settings *node.Settings
	Log      zerolog.Logger

	check func(*node.Settings) error // validates the settings for the role
}

// Begin parses the flags, loads the settings, and validates them by check for the role. If the program must not
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

// reportUsage prints an error of the command line, or the help, and returns the exit code.
func reportUsage(err error) int {
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(err)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return ExitUsage
}

// Load reads and validates the current settings file.
func (p *Program) Load() (*node.Settings, error) {
	settings, err := node.Load()
	if err != nil {
		return nil, err
	}
	return settings, p.check(settings)
}

// Reload loads the settings again and calls apply with them. If the file has findings, they are logged and apply
// is not called.
func (p *Program) Reload(apply func(*node.Settings)) {
	settings, err := p.Load()
	if err != nil {
		p.Log.Error().Err(err).Msg("reload_failed")
		return
	}
	apply(settings)
	p.Log.Info().Msg("settings_reloaded")
}

// Package program owns how the programs of gateways and batch processes begin: flags, the check of the settings, the log and the
// bounds of the heap. It must never know what a role does.
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

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2 // flags or settings can't be used
)

const (
	// gcPercent is how much the heap may grow between collections: memory is dearer here than the time for them.
	gcPercent = 50
	// memoryShare is the part of the machine's memory that the heap keeps to.
	memoryShare = 0.7
)

type options struct {
	Check    bool   `long:"check" description:"check the settings, report all findings and exit"`
	LogLevel string `long:"log-level" env:"SPRUCELANE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Program is a program that is to run.
type Program struct {
	Settings *node.Settings
	Log      zerolog.Logger

	check func(*node.Settings) error
}

// Begin reads flags and settings, which the role checks for what it needs itself. Where the program is not to run, it gives nil
// and the exit code.
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

func reportUsage(err error) int {
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(err)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return ExitUsage
}

// Load reads and checks the settings file as it is now.
func (p *Program) Load() (*node.Settings, error) {
	settings, err := node.Load()
	if err != nil {
		return nil, err
	}
	return settings, p.check(settings)
}

// Reload reads the settings again and hands them to the role; a file with findings changes nothing.
func (p *Program) Reload(take func(*node.Settings)) {
	settings, err := p.Load()
	if err != nil {
		p.Log.Error().Err(err).Msg("reload_failed")
		return
	}
	take(settings)
	p.Log.Info().Msg("reloaded")
}

// Command sprucelane-control is the control plane's process: it keeps the operator's configuration with the other control
// processes, answers the operator, reads the platform's list of servers and tells gateways and batch processes what they need.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/control"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/program"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// Memory is priced: the heap grows by half before it is collected, and collection turns eager near the limit.
const (
	gcPercent          = 50 // percent
	memoryLimitPercent = 60 // of the process's limit
)

// settingsLook is how often the settings file is looked at: it may change without a signal.
const settingsPollInterval = 2 * time.Second

// arguments are the command's flags.
type arguments struct {
	Settings string `long:"settings" env:"SPRUCELANE_SETTINGS" value-name:"FILE" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings, tell every finding, and end with 2 where there is one"`
	LogLevel string `long:"log-level" env:"SPRUCELANE_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	signals := program.CatchSignals()
	var given arguments
	parser := flags.NewParser(&given, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Keeps the configuration of a sprucelane system and tells its gateways and batch processes what they need.\n" +
		"SIGTERM hands over and ends; SIGHUP reads the settings file again."
	if _, err := parser.ParseArgs(args); err != nil {
		return exitAfterParse(err)
	}
	settings, err := load(given.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if given.Check {
		fmt.Println("the settings are in order")
		return 0
	}
	return serve(settings, given, signals)
}

// parsed ends after flags that don't ask for a start.
func exitAfterParse(err error) int {
	var told *flags.Error
	if errors.As(err, &told) && told.Type == flags.ErrHelp {
		fmt.Println(told.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitSettings
}

// load reads and checks the settings, also for what only control needs.
func load(path string) (*node.Settings, error) {
	if path == "" {
		return node.Load()
	}
	settings, err := node.LoadFile(path)
	if err != nil {
		return nil, err
	}
	var findings node.Findings
	if settings.ListenControl == "" {
		findings.Addf(path+": listen.control", "is missing: the role serves control")
	}
	if len(settings.Seeds) == 0 {
		findings.Addf(path+": seeds", "names no control process")
	}
	return settings, findings.OrNil()
}

func serve(settings *node.Settings, given arguments, signals *program.Signals) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.Limits.MemoryMB) << 20 * memoryLimitPercent / 100)
	log := node.NewLogger(settings, given.LogLevel)
	process, err := control.Start(control.Options{Settings: settings, Log: log})
	if err != nil {
		log.Error().Err(err).Msg("start-failed")
		return exitFailed
	}
	watch(process, given.Settings, signals, log)
	process.Stop()
	return 0
}

// watch waits for the signal to end, and reads the settings again when told to or when the file changes.
func watch(process *control.Control, path string, signals *program.Signals, log zerolog.Logger) {
	look := time.NewTicker(settingsPollInterval)
	defer look.Stop()
	changed := modifiedAt(path)
	for {
		select {
		case <-signals.Terminations():
			return
		case <-signals.Reloads():
		case <-look.C:
			newest := modifiedAt(path)
			if newest.Equal(changed) {
				continue
			}
			changed = newest
		}
		reload(process, path, log)
	}
}

func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes new settings in. Settings with findings change nothing.
func reload(process *control.Control, path string, log zerolog.Logger) {
	settings, err := load(path)
	if err != nil {
		log.Error().Err(err).Msg("settings-not-reloaded")
		return
	}
	process.Reload(settings)
}

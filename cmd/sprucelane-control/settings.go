package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/control"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/program"
)

// settingsPollInterval is the time between two checks of the settings file for a change, as the file may be
// replaced without a signal.
const settingsPollInterval = 2 * time.Second

// load reads and checks the settings, including those that only a control process needs. If path is empty, it
// reads them from the environment.
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

// watch reloads the settings on SIGHUP and when the file has changed. It returns when a signal asks the process
// to terminate.
func watch(process *control.Control, path string, signals *program.Signals, log zerolog.Logger) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastModified := modifiedAt(path)
	for {
		select {
		case <-signals.Terminations():
			return
		case <-signals.Reloads():
		case <-poll.C:
			modified := modifiedAt(path)
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		reload(process, path, log)
	}
}

// modifiedAt returns the modification time of a file, or the zero time if the file's status can't be read.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings and applies them. If they are invalid, the error is logged and the previous settings
// stay in force.
func reload(process *control.Control, path string, log zerolog.Logger) {
	settings, err := load(path)
	if err != nil {
		log.Error().Err(err).Msg("settings_reload_failed")
		return
	}
	process.Reload(settings)
}

package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/control"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/program"
)

// settingsPollInterval is how often the settings file is looked at: it may be replaced without a signal.
const settingsPollInterval = 2 * time.Second

// load reads and checks the settings, including what only a control process needs. Without a path they come
// from the environment.
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

// watch returns when the process is to terminate, and reloads the settings on SIGHUP and when the file has
// changed.
func watch(process *control.Control, path string, signals *program.Signals, log zerolog.Logger) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	changed := modifiedAt(path)
	for {
		select {
		case <-signals.Terminations():
			return
		case <-signals.Reloads():
		case <-poll.C:
			newest := modifiedAt(path)
			if newest.Equal(changed) {
				continue
			}
			changed = newest
		}
		reload(process, path, log)
	}
}

// modifiedAt returns when a file was modified; the zero time if it can't be found.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies new settings. Invalid ones are logged, and the former ones stay.
func reload(process *control.Control, path string, log zerolog.Logger) {
	settings, err := load(path)
	if err != nil {
		log.Error().Err(err).Msg("settings_reload_failed")
		return
	}
	process.Reload(settings)
}

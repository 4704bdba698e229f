package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/node"
)

// settingsCheck is the command "settings check": it reads a settings file as a process of the system would.
type settingsCheck struct {
	printer   *printer
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reports all errors in the file, each with its line and key.
func (c *settingsCheck) Execute([]string) error {
	settings, err := node.LoadFile(c.Arguments.File)
	if err != nil {
		return err
	}
	return c.printer.valid(fmt.Sprintf("%s: valid, of %s in the role %s",
		c.Arguments.File, settings.NodeName, settings.Role))
}

// addSettings adds the command group "settings".
func addSettings(parser *flags.Parser, printer *printer) {
	group := add(parser.Command, "settings", "settings files of processes", &struct{}{})
	add(group, "check", "check a settings file and name every fault by line and key", &settingsCheck{printer: printer})
}

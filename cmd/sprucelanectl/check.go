package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/schema"
	"sprucelane.example/sprucelane/internal/node"
)

// configCheck checks a configuration offline, as control would.
type configCheck struct {
	Patch     bool `long:"patch" description:"the file is a change of named items, not a whole configuration; what it needs of the rest isn't checked"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the configuration in JSON; - reads it from standard input"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// Execute names every finding with its place.
func (c *configCheck) Execute([]string) error {
	body, err := readFile(c.Arguments.File)
	if err != nil {
		return err
	}
	if err := checkConfiguration(c.Arguments.File, body, c.Patch).OrNil(); err != nil {
		return err
	}
	return c.printer.valid(fmt.Sprintf("%s: valid, generation %d", c.Arguments.File, generationOf(body)))
}

// checkConfiguration gives what the schema finds and, where the shape is right, what spans items.
func checkConfiguration(path string, body []byte, patch bool) node.Findings {
	list := schema.Check(body, patch)
	if len(list) == 0 {
		list = checkReferences(body, patch)
	}
	for i := range list {
		list[i].Place = joinLocation(path, list[i].Place)
	}
	return list
}

func checkReferences(body []byte, patch bool) node.Findings {
	order := configuration.ChangeRequest{Patch: patch, Body: body}
	if patch {
		return configuration.ValidateStandalone(order)
	}
	return configuration.NewState().Evaluate(order).Findings
}

func joinLocation(path, place string) string {
	if place == "" {
		return path
	}
	return path + ": " + place
}

func addConfig(parser *flags.Parser, screen *printer) *flags.Command {
	group := add(parser.Command, "config", "the operator's configuration", &struct{}{})
	add(group, "check", "check a configuration offline and name every finding by its place", &configCheck{printer: screen})
	return group
}

package main

import (
	"fmt"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/schema"
	"sprucelane.example/sprucelane/internal/node"
)

// configCheck is the command "config check": it checks a configuration offline, as a control process would.
type configCheck struct {
	Patch     bool `long:"patch" description:"the file is a change of named items, not a whole configuration; what it needs of the rest isn't checked"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the configuration in JSON; - reads it from standard input"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// Execute reports all findings, each with its location.
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

// checkConfiguration returns the findings of the schema check or, if there are none, those of checkReferences,
// which needs a document that conforms to the schema.
func checkConfiguration(path string, body []byte, patch bool) node.Findings {
	findings := schema.Check(body, patch)
	if len(findings) == 0 {
		findings = checkReferences(body, patch)
	}
	for i := range findings {
		findings[i].Place = joinLocation(path, findings[i].Place)
	}
	return findings
}

// checkReferences runs the checks that span several items. For a patch it runs only the checks that don't depend
// on the version that the patch changes.
func checkReferences(body []byte, patch bool) node.Findings {
	request := configuration.ChangeRequest{Patch: patch, Body: body}
	if patch {
		return configuration.ValidateStandalone(request)
	}
	return configuration.NewState().Evaluate(request).Findings
}

// joinLocation returns a file's path, followed by a location in the file if there is one.
func joinLocation(path, place string) string {
	if place == "" {
		return path
	}
	return path + ": " + place
}

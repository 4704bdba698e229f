package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"sprucelane.example/sprucelane/internal/controlclient"
)

// addConfig adds the command group "config".
func addConfig(parser *flags.Parser, printer *printer) {
	group := add(parser.Command, "config", "the operator's configuration", &struct{}{})
	add(group, "check", "check a configuration offline and name every finding by its place",
		&configCheck{printer: printer})
	add(group, "get", "print the newest configuration", &configGet{printer: printer})
	add(group, "put", "put a whole configuration", &configChange{method: http.MethodPut, printer: printer})
	add(group, "patch", "add, replace and remove items of the configuration",
		&configChange{method: http.MethodPatch, printer: printer})
}

// configGet is the command "config get".
type configGet struct {
	Remote  controlOptions `group:"Control options"`
	printer *printer
}

// Execute prints the newest configuration as the control process returns it, which is JSON in both output forms.
func (c *configGet) Execute([]string) error {
	version, document, err := c.Remote.currentConfiguration()
	if err != nil {
		return err
	}
	if version == 0 {
		return errors.New("there is no configuration yet")
	}
	_, err = fmt.Fprintln(c.printer.out, strings.TrimSpace(string(document)))
	return err
}

// configChange implements the commands "config put", which replaces the configuration, and "config patch",
// which changes items of it.
type configChange struct {
	Remote    controlOptions `group:"Control options"`
	IfMatch   *uint64        `long:"if-match" value-name:"VERSION" description:"the version that the change builds on, 0 for the first; left out, the newest one"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the change in JSON; - reads it from standard input"`
	} `positional-args:"yes" required:"yes"`
	method  string
	printer *printer
}

// changeResult is the output after an acknowledged change.
type changeResult struct {
	Acknowledged bool   `json:"acknowledged"`
	BuiltOn      uint64 `json:"built-on"`
	Generation   uint64 `json:"generation"`
	By           string `json:"by"` // address of the control process that answered
}

// Execute sends the change repeatedly until a control process has acknowledged or rejected it. Without such an
// answer it returns an error, and the change may or may not be in force.
func (c *configChange) Execute([]string) error {
	body, err := readFile(c.Arguments.File)
	if err != nil {
		return err
	}
	builtOn, err := c.baseVersion()
	if err != nil {
		return err
	}
	response, err := c.Remote.call(controlclient.Request{
		Method:  c.method,
		Path:    "/config",
		IfMatch: strconv.FormatUint(builtOn, 10),
		Body:    body,
	})
	if err != nil {
		return err
	}
	result := changeResult{Acknowledged: true, BuiltOn: builtOn, Generation: generationOf(body), By: response.Address}
	return c.printer.print(result, func(out io.Writer) {
		fmt.Fprintf(out, "version %d is acknowledged by %s, on top of %d\n", result.Generation, result.By, result.BuiltOn)
	})
}

// baseVersion returns the version that the change builds on.
func (c *configChange) baseVersion() (uint64, error) {
	if c.IfMatch != nil {
		return *c.IfMatch, nil
	}
	version, _, err := c.Remote.currentConfiguration()
	return version, err
}

// currentConfiguration returns the newest configuration and its version. Version 0 means that there is no
// configuration yet.
func (o *controlOptions) currentConfiguration() (version uint64, document []byte, err error) {
	response, err := o.call(controlclient.Request{Method: http.MethodGet, Path: "/config"})
	if controlclient.StatusOf(err) == http.StatusNotFound {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var head documentHead
	if err := json.Unmarshal(response.Body, &head); err != nil {
		return 0, nil, errorx.Decorate(err, "%s answers no configuration", response.Address)
	}
	return head.Generation, response.Body, nil
}

// documentHead is the part of a document or patch that the commands read.
type documentHead struct {
	Generation uint64 `json:"generation"`
}

// generationOf returns the version of a document or patch. It ignores parse errors, because a control process or
// a check has accepted the document before.
func generationOf(body []byte) uint64 {
	var head documentHead
	_ = json.Unmarshal(body, &head)
	return head.Generation
}

// readFile reads a file, or standard input for the path "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"sprucelane.example/sprucelane/internal/controlclient"
)

// controlOptions are of all commands that call control processes.
type controlOptions struct {
	Control []string      `long:"control" env:"SPRUCELANECTL_CONTROL" env-delim:"," value-name:"IP:PORT" description:"address of a control process; may be given several times, or as a list with commas"`
	Timeout time.Duration `long:"timeout" env:"SPRUCELANECTL_TIMEOUT" default:"10s" description:"how long a call is repeated until it is answered"`
}

func (o *controlOptions) addresses() []string {
	var list []string
	for _, text := range o.Control {
		list = append(list, strings.Split(text, ",")...)
	}
	return list
}

var errNoControl = errors.New("--control (or SPRUCELANECTL_CONTROL) must name a control process")

func (o *controlOptions) call(order controlclient.Request) (*controlclient.Response, error) {
	addresses := o.addresses()
	if len(addresses) == 0 {
		return nil, usageError(errNoControl)
	}
	client := controlclient.Client{Addresses: addresses, Timeout: o.Timeout}
	return client.Call(context.Background(), order)
}

// usageError makes an error one of the command line.
func usageError(err error) error {
	return &flags.Error{Type: flags.ErrRequired, Message: err.Error()}
}

// current gives the newest configuration and its version; version 0: there is none yet.
func (o *controlOptions) currentConfiguration() (version uint64, document []byte, err error) {
	answer, err := o.call(controlclient.Request{Method: http.MethodGet, Path: "/config"})
	if controlclient.StatusOf(err) == http.StatusNotFound {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var head struct {
		Generation uint64 `json:"generation"`
	}
	if err := json.Unmarshal(answer.Body, &head); err != nil {
		return 0, nil, errorx.Decorate(err, "%s answers no configuration", answer.Address)
	}
	return head.Generation, answer.Body, nil
}

type configGet struct {
	Remote  controlOptions `group:"Control options"`
	printer *printer
}

// Execute prints the newest configuration as control gives it: JSON in both forms of output.
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

// configChange puts a whole configuration, or patches items.
type configChange struct {
	Remote    controlOptions `group:"Control options"`
	IfMatch   *uint64        `long:"if-match" value-name:"VERSION" description:"the version that the change builds on, 0 for the first; left out, the newest one"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the change in JSON; - reads it from standard input"`
	} `positional-args:"yes" required:"yes"`
	method  string
	printer *printer
}

// taken is what an acknowledged change gives.
type changeResult struct {
	Acknowledged bool   `json:"acknowledged"`
	BuiltOn      uint64 `json:"built-on"`
	Generation   uint64 `json:"generation"`
	By           string `json:"by"`
}

// Execute sends the change until it has a clear answer. Without one the error says so: the change may be in force or not.
func (c *configChange) Execute([]string) error {
	body, err := readFile(c.Arguments.File)
	if err != nil {
		return err
	}
	builtOn, err := c.baseVersion()
	if err != nil {
		return err
	}
	answer, err := c.Remote.call(controlclient.Request{
		Method:  c.method,
		Path:    "/config",
		IfMatch: strconv.FormatUint(builtOn, 10),
		Body:    body,
	})
	if err != nil {
		return err
	}
	result := changeResult{Acknowledged: true, BuiltOn: builtOn, Generation: generationOf(body), By: answer.Address}
	return c.printer.print(result, func(out io.Writer) {
		fmt.Fprintf(out, "version %d is acknowledged by %s, on top of %d\n", result.Generation, result.By, result.BuiltOn)
	})
}

func (c *configChange) baseVersion() (uint64, error) {
	if c.IfMatch != nil {
		return *c.IfMatch, nil
	}
	version, _, err := c.Remote.currentConfiguration()
	return version, err
}

func generationOf(body []byte) uint64 {
	var head struct {
		Generation uint64 `json:"generation"`
	}
	_ = json.Unmarshal(body, &head) // control has taken it, so it can be read
	return head.Generation
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type retireStart struct {
	Remote    controlOptions `group:"Control options"`
	Deadline  float64        `long:"deadline" default:"60" value-name:"SECONDS" description:"the time by which the machine is to be empty"`
	Arguments struct {
		Node string `positional-arg-name:"NODE" description:"the store machine's name"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// Execute asks for a store machine to be emptied.
func (c *retireStart) Execute([]string) error {
	body, err := json.Marshal(map[string]float64{"deadline-s": c.Deadline})
	if err != nil {
		return err
	}
	return c.printer.retirement(&c.Remote, c.Arguments.Node, controlclient.Request{Method: http.MethodPost, Body: body})
}

type retireStatus struct {
	Remote    controlOptions `group:"Control options"`
	Arguments struct {
		Node string `positional-arg-name:"NODE" description:"the store machine's name"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// Execute tells how far a retirement is.
func (c *retireStatus) Execute([]string) error {
	return c.printer.retirement(&c.Remote, c.Arguments.Node, controlclient.Request{Method: http.MethodGet})
}

// retirement is what calls for a retirement give. State is "active" or "completed"; completed: the machine may be taken away.
type retirement struct {
	Node  string `json:"node"`
	State string `json:"state"`
}

func (p *printer) retirement(control *controlOptions, name string, order controlclient.Request) error {
	order.Path = "/retire/" + name
	answer, err := control.call(order)
	if err != nil {
		return err
	}
	result := retirement{Node: name}
	if err := json.Unmarshal(answer.Body, &result); err != nil {
		return errorx.Decorate(err, "%s answers no retirement", answer.Address)
	}
	return p.print(result, func(out io.Writer) { fmt.Fprintf(out, "%s: %s\n", result.Node, result.State) })
}

func addControl(parser *flags.Parser, config *flags.Command, screen *printer) {
	add(config, "get", "print the newest configuration", &configGet{printer: screen})
	add(config, "put", "put a whole configuration", &configChange{method: http.MethodPut, printer: screen})
	add(config, "patch", "add, replace and remove items of the configuration", &configChange{method: http.MethodPatch, printer: screen})
	group := add(parser.Command, "retire", "emptying of store machines", &struct{}{})
	add(group, "start", "ask for a store machine to be emptied", &retireStart{printer: screen})
	add(group, "status", "tell how far a retirement is", &retireStatus{printer: screen})
	add(parser.Command, "status", "ask each control process for the version that it knows", &status{printer: screen})
}

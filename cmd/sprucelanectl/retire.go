package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"sprucelane.example/sprucelane/internal/controlclient"
)

// addRetire adds the command group "retire".
func addRetire(parser *flags.Parser, printer *printer) {
	group := add(parser.Command, "retire", "emptying of store machines", &struct{}{})
	add(group, "start", "ask for a store machine to be emptied", &retireStart{printer: printer})
	add(group, "status", "tell how far a retirement is", &retireStatus{printer: printer})
}

// retireStart is the command "retire start".
type retireStart struct {
	Remote    controlOptions `group:"Control options"`
	Deadline  float64        `long:"deadline" default:"60" value-name:"SECONDS" description:"the time after which control logs that the machine isn't empty yet"`
	Arguments struct {
		Node string `positional-arg-name:"NODE" description:"the store machine's name"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// Execute asks for a store machine to be drained. The retirement ends when the machine holds no data that others need.
// If that takes longer than the deadline, the retirement continues, and control logs that it is late.
func (c *retireStart) Execute([]string) error {
	body, err := json.Marshal(map[string]float64{"deadline-s": c.Deadline})
	if err != nil {
		return err
	}
	return c.printer.retirement(&c.Remote, c.Arguments.Node, controlclient.Request{Method: http.MethodPost, Body: body})
}

// retireStatus is the command "retire status".
type retireStatus struct {
	Remote    controlOptions `group:"Control options"`
	Arguments struct {
		Node string `positional-arg-name:"NODE" description:"the store machine's name"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// Execute prints the state of a retirement.
func (c *retireStatus) Execute([]string) error {
	return c.printer.retirement(&c.Remote, c.Arguments.Node, controlclient.Request{Method: http.MethodGet})
}

// retirement is the output of both commands.
type retirement struct {
	Node  string `json:"node"`
	State string `json:"state"` // active, or completed, after which the machine may be removed
}

// retirement sends a request about a node's retirement and prints the answer.
func (p *printer) retirement(control *controlOptions, node string, request controlclient.Request) error {
	request.Path = "/retire/" + node
	response, err := control.call(request)
	if err != nil {
		return err
	}
	result := retirement{Node: node}
	if err := json.Unmarshal(response.Body, &result); err != nil {
		return errorx.Decorate(err, "%s answers no retirement", response.Address)
	}
	return p.print(result, func(out io.Writer) { fmt.Fprintf(out, "%s: %s\n", result.Node, result.State) })
}

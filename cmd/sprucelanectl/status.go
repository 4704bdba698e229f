package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/controlclient"
)

// addStatus adds the command "status".
func addStatus(parser *flags.Parser, printer *printer) {
	add(parser.Command, "status", "ask each control process for the version that it knows", &status{printer: printer})
}

// status is the command "status": it asks each control process by itself.
type status struct {
	Remote  controlOptions `group:"Control options"`
	printer *printer
}

// controlStatus is the output for one control process.
type controlStatus struct {
	Address  string  `json:"address"`
	Answered bool    `json:"answers"`
	Version  uint64  `json:"version"`           // 0: no configuration yet
	Took     float64 `json:"took-ms"`           // milliseconds
	Problem  string  `json:"problem,omitempty"` // why there is no answer
	Redirect bool    `json:"redirected"`        // it redirected to another one, which answered
}

// statusTimeout bounds the call to one control process, which itself lets a reader wait for up to 0.9 s.
const statusTimeout = 2 * time.Second

// Execute fails if no control process answers.
func (c *status) Execute([]string) error {
	addresses := c.Remote.addresses()
	if len(addresses) == 0 {
		return usageError(errNoControl)
	}
	list := make([]controlStatus, 0, len(addresses))
	answered := 0
	for _, address := range addresses {
		one := askVersion(address)
		if one.Answered {
			answered++
		}
		list = append(list, one)
	}
	err := c.printer.print(list, func(out io.Writer) { writeStatus(out, list) })
	if err == nil && answered == 0 {
		err = fmt.Errorf("none of %d control processes tells the version", len(addresses))
	}
	return err
}

// askVersion asks one control process for its newest version.
func askVersion(address string) controlStatus {
	one := controlStatus{Address: address}
	client := controlclient.Client{Addresses: []string{address}, Timeout: statusTimeout}
	began := time.Now()
	answer, err := client.Call(context.Background(), controlclient.Request{Method: http.MethodGet, Path: "/config"})
	one.Took = float64(time.Since(began).Microseconds()) / 1000
	switch {
	case controlclient.StatusOf(err) == http.StatusNotFound:
		one.Answered = true
	case err != nil:
		one.Problem = err.Error()
	default:
		one.Answered = true
		one.Version = generationOf(answer.Body)
		one.Redirect = answer.Address != address
	}
	return one
}

// writeStatus prints one line for each control process.
func writeStatus(out io.Writer, list []controlStatus) {
	for _, one := range list {
		switch {
		case !one.Answered:
			fmt.Fprintf(out, "%-22s no answer: %s\n", one.Address, one.Problem)
		case one.Version == 0:
			fmt.Fprintf(out, "%-22s no configuration yet (%.1f ms)\n", one.Address, one.Took)
		default:
			fmt.Fprintf(out, "%-22s version %d (%.1f ms)\n", one.Address, one.Version, one.Took)
		}
	}
}

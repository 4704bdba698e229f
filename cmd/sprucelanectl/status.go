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

// status is the command "status": it calls each control process separately.
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
	Redirect bool    `json:"redirected"`        // the process redirected to another one, which answered
}

// statusTimeout bounds the call to one control process, which itself may delay a read by up to 0.9 s.
const statusTimeout = 2 * time.Second

// Execute prints the status of each control process. It returns an error if none of them answers.
func (c *status) Execute([]string) error {
	addresses := c.Remote.addresses()
	if len(addresses) == 0 {
		return usageError(errNoControl)
	}
	list := make([]controlStatus, 0, len(addresses))
	answered := 0
	for _, address := range addresses {
		s := askVersion(address)
		if s.Answered {
			answered++
		}
		list = append(list, s)
	}
	err := c.printer.print(list, func(out io.Writer) { writeStatus(out, list) })
	if err == nil && answered == 0 {
		err = fmt.Errorf("none of %d control processes tells the version", len(addresses))
	}
	return err
}

// askVersion asks one control process for its newest version.
func askVersion(address string) controlStatus {
	s := controlStatus{Address: address}
	client := controlclient.Client{Addresses: []string{address}, Timeout: statusTimeout}
	start := time.Now()
	response, err := client.Call(context.Background(), controlclient.Request{Method: http.MethodGet, Path: "/config"})
	s.Took = float64(time.Since(start).Microseconds()) / 1000
	switch {
	case controlclient.StatusOf(err) == http.StatusNotFound:
		s.Answered = true
	case err != nil:
		s.Problem = err.Error()
	default:
		s.Answered = true
		s.Version = generationOf(response.Body)
		s.Redirect = response.Address != address
	}
	return s
}

// writeStatus prints one line for each control process.
func writeStatus(out io.Writer, list []controlStatus) {
	for _, s := range list {
		switch {
		case !s.Answered:
			fmt.Fprintf(out, "%-22s no answer: %s\n", s.Address, s.Problem)
		case s.Version == 0:
			fmt.Fprintf(out, "%-22s no configuration yet (%.1f ms)\n", s.Address, s.Took)
		default:
			fmt.Fprintf(out, "%-22s version %d (%.1f ms)\n", s.Address, s.Version, s.Took)
		}
	}
}

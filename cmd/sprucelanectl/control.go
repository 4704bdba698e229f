package main

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/controlclient"
)

// controlOptions holds the options of all commands that call control processes.
type controlOptions struct {
	Control []string      `long:"control" env:"SPRUCELANECTL_CONTROL" env-delim:"," value-name:"IP:PORT" description:"address of a control process; may be given several times, or as a list with commas"`
	Timeout time.Duration `long:"timeout" env:"SPRUCELANECTL_TIMEOUT" default:"10s" description:"how long a call is repeated until it is answered"`
}

// errNoControl is a command-line error: no address of a control process was given.
var errNoControl = errors.New("--control (or SPRUCELANECTL_CONTROL) must name a control process")

// addresses returns the addresses of control processes, which may be given by several options or as lists.
func (o *controlOptions) addresses() []string {
	var addresses []string
	for _, text := range o.Control {
		addresses = append(addresses, strings.Split(text, ",")...)
	}
	return addresses
}

// call sends a request to the control processes until one of them answers. It returns the errors of
// controlclient.Client, and a usage error if no address was given.
func (o *controlOptions) call(request controlclient.Request) (*controlclient.Response, error) {
	addresses := o.addresses()
	if len(addresses) == 0 {
		return nil, usageError(errNoControl)
	}
	client := controlclient.Client{Addresses: addresses, Timeout: o.Timeout}
	return client.Call(context.Background(), request)
}

// usageError returns an error that report treats as a command-line error.
func usageError(err error) error {
	return &flags.Error{Type: flags.ErrRequired, Message: err.Error()}
}

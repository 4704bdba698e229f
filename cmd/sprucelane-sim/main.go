// Command sprucelane-sim runs the policy of many gateways under a simulator, to which it is connected by standard input
// and output (package internal/daemon/wire). The gateways share nothing but server lists: they learn from each other
// only by the messages that the simulator delivers.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/wire"
	"sprucelane.example/sprucelane/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sprucelane-sim:", err)
		os.Exit(1)
	}
}

// bufferSize is the size of the buffers for input and output, in bytes.
const bufferSize = 1 << 16

// run answers each batch with one reply until the input ends between two batches, and then returns nil. An event that
// cannot be handled ends it with an error that contains the event's index in its batch.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	a := &adapter{gateways: map[uint16]*policy.Gateway{}, lists: map[uint32][]policy.ServerInfo{}}
	for {
		batch, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			if err := a.handleEvent(batch.Now, &batch.Events[i]); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
		if _, err := w.Write(a.actions.Frame()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// maxListNumber is the highest number that a server list may have.
const maxListNumber = 15

// adapter holds the gateways of a simulation, and the actions of the batch that is being handled.
type adapter struct {
	gateways map[uint16]*policy.Gateway
	lists    map[uint32][]policy.ServerInfo // by list number
	actions  wire.Actions
}

// handleEvent passes an event to the gateway that it is addressed to. Events that the policy doesn't use are skipped.
func (a *adapter) handleEvent(now policy.Time, e *wire.Event) error {
	switch e.Code {
	case wire.ListDefined:
		if e.ListNumber > maxListNumber {
			return fmt.Errorf("list number %d out of range", e.ListNumber)
		}
		a.lists[e.ListNumber] = e.Entries
		return nil
	case wire.GatewayStarted:
		return a.startGateway(e)
	}
	g := a.gateways[e.Instance]
	if g == nil {
		return fmt.Errorf("unknown instance %d", e.Instance)
	}
	switch e.Code {
	case wire.GatewayStopped:
		delete(a.gateways, e.Instance)
	case wire.ListReceived:
		return a.receiveList(g, now, e)
	case wire.RequestReceived:
		g.Request(now, e.Request)
	case wire.ResponseStarted:
		g.ResponseStarted(now, e.Outcome.ID, e.Outcome.Attempt)
	case wire.AttemptEnded:
		g.Outcome(now, e.Outcome)
	case wire.ClientGone:
		g.ClientGone(now, policy.RequestID(e.Tag))
	case wire.TimerFired:
		g.Timer(now, e.Tag)
	case wire.PeerMessage:
		g.PeerMessage(now, e.From, e.Message)
	}
	return nil
}

// startGateway starts a gateway, which replaces an earlier one with the same number.
func (a *adapter) startGateway(e *wire.Event) error {
	deployment, err := config.ParseSettings(e.Settings)
	if err != nil {
		return err
	}
	g, err := policy.New(deployment.Settings, e.Seed)
	if err != nil {
		return err
	}
	g.Attach(wire.Host{Out: &a.actions, Instance: e.Instance})
	a.gateways[e.Instance] = g
	return nil
}

// receiveList passes a server list to a gateway, or, with the kind policy.ListFailed, the failure to get one.
func (a *adapter) receiveList(g *policy.Gateway, now policy.Time, e *wire.Event) error {
	kind := policy.ListKind(e.ListKind)
	if kind > policy.ListFailed {
		return fmt.Errorf("unknown list kind %d", e.ListKind)
	}
	list, ok := a.lists[e.ListNumber]
	if kind == policy.ListFailed {
		list = nil
	} else if !ok {
		return fmt.Errorf("unknown list number %d", e.ListNumber)
	}
	g.Servers(now, kind, list)
	return nil
}

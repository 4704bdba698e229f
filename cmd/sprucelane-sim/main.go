// Command drill runs the decision module on the simulator's wire: many gateways that share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/wire"
	"sprucelane.example/sprucelane/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers each batch with one reply until the input ends between two batches.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	p := &simulator{gateways: map[uint16]*policy.Gateway{}, lists: map[uint32][]policy.ServerInfo{}}
	for {
		b, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range b.Events {
			if err := p.handleEvent(b.Now, &b.Events[i]); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
		if _, err := w.Write(p.actions.Frame()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

type simulator struct {
	gateways map[uint16]*policy.Gateway
	lists    map[uint32][]policy.ServerInfo
	actions  wire.Actions
}

func (p *simulator) handleEvent(now policy.Time, e *wire.Event) error {
	switch e.Code {
	case wire.ListDefined:
		if e.ListNumber > 15 {
			return fmt.Errorf("list number %d out of range", e.ListNumber)
		}
		p.lists[e.ListNumber] = e.Entries
		return nil
	case wire.GatewayStarted:
		set, err := config.ParseSettings(e.Settings)
		if err != nil {
			return err
		}
		g, err := policy.New(set.Settings, e.Seed)
		if err != nil {
			return err
		}
		g.Attach(wire.Host{Out: &p.actions, Instance: e.Instance})
		p.gateways[e.Instance] = g
		return nil
	}
	g := p.gateways[e.Instance]
	if g == nil {
		return fmt.Errorf("unknown instance %d", e.Instance)
	}
	switch e.Code {
	case wire.GatewayStopped:
		delete(p.gateways, e.Instance)
	case wire.ListReceived:
		list, ok := p.lists[e.ListNumber]
		kind := policy.ListKind(e.ListKind)
		if kind > policy.ListFailed {
			return fmt.Errorf("unknown list kind %d", e.ListKind)
		}
		if kind == policy.ListFailed {
			list = nil
		} else if !ok {
			return fmt.Errorf("unknown list number %d", e.ListNumber)
		}
		g.Servers(now, kind, list)
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

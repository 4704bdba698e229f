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
	p := &process{gateways: map[uint16]*policy.Gateway{}, lists: map[uint32][]policy.ServerInfo{}}
	for {
		b, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range b.Events {
			if err := p.event(b.Now, &b.Events[i]); err != nil {
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

type process struct {
	gateways map[uint16]*policy.Gateway
	lists    map[uint32][]policy.ServerInfo
	actions  wire.Actions
}

func (p *process) event(now policy.Time, e *wire.Event) error {
	switch e.Code {
	case wire.Register:
		if e.Table > 15 {
			return fmt.Errorf("list number %d out of range", e.Table)
		}
		p.lists[e.Table] = e.Entries
		return nil
	case wire.Born:
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
	case wire.Down:
		delete(p.gateways, e.Instance)
	case wire.Sync:
		list, ok := p.lists[e.Table]
		kind := policy.ListKind(e.Kind)
		if kind > policy.ListFailed {
			return fmt.Errorf("unknown list kind %d", e.Kind)
		}
		if kind == policy.ListFailed {
			list = nil
		} else if !ok {
			return fmt.Errorf("unknown list number %d", e.Table)
		}
		g.Servers(now, kind, list)
	case wire.Order:
		g.Request(now, e.Request)
	case wire.Flowing:
		g.ResponseStarted(now, e.Outcome.ID, e.Outcome.Attempt)
	case wire.OutcomeOf:
		g.Outcome(now, e.Outcome)
	case wire.TimedOutClient:
		g.ClientGone(now, policy.RequestID(e.Tag))
	case wire.Reminder:
		g.Timer(now, e.Tag)
	case wire.NoteFrom:
		g.PeerMessage(now, e.From, e.Message)
	}
	return nil
}

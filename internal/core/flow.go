package core

import (
	"io"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Carrier takes a server-side flow to its pool member and back. It calls Flow.Begin right before the first byte
// and ends when Flow.Until is reached at the latest.
type Carrier interface {
	Carry(f *Flow) (End, Answer)
}

// Flow is one server-side flow.
type Flow struct {
	Server  policy.ServerID
	Until   time.Time
	Message any
	Spent   bool // the carrier's word that the message can't be sent again

	core      *Core
	tx        *transaction
	no        int
	sent      Time
	recheck   bool
	cancelled bool
	conn      io.Closer
}

// To gives the pool member that the flow goes to.
func (f *Flow) To() policy.ServerID { return f.Server }

// By gives the moment at which the flow ends at the latest.
func (f *Flow) By() time.Time { return f.Until }

// Begin tells whether the first byte may still be written to a connection, which it remembers for a cancel. A
// flow whose transaction was answered while it dialled must not reach a server, nor may one that the module would no longer
// send.
func (f *Flow) Begin(conn io.Closer) (End, bool) {
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	if f.cancelled {
		return EndCancelled, false
	}
	if f.tx.closed {
		return EndOver, false
	}
	if !f.tx.era.module.MayBegin(f.core.Now(), f.tx.ID, f.no) {
		return EndLapsed, false
	}
	f.conn = conn
	return EndNone, true
}

// Came tells that the last byte of a body that was still coming has been written: from now on the flow has as long as the
// client waits.
func (f *Flow) Came() {
	f.core.event(func(now Time) {
		t := f.tx
		if !t.BodyPending || t.closed {
			return
		}
		t.Deadline = now + t.Wait
		f.sent, f.Until = now, f.core.At(t.Deadline)
		t.era.module.BodySent(now, t.ID, t.Deadline)
	})
}

// Finish gives the connection back, so that a late cancel can't close what another flow uses. It tells
// whether the flow was cancelled.
func (f *Flow) Finish() bool {
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	f.conn = nil
	return f.cancelled
}

// carry takes one flow to its end, which goes to the module whether or not the client still waits: what runs on
// after the answer still tells of its pool member.
func (c *Core) carry(f *Flow) {
	end, answer := EndUnchecked, Answer{}
	verdict := Active
	if f.recheck {
		verdict, _ = f.tx.Check(f.tx.Deadline - checkMargin)
	}
	switch verdict {
	case Active:
		end, answer = c.carrier.Carry(f)
	case Inactive:
		end = EndDenied
	}
	late := false
	c.event(func(now Time) {
		t := f.tx
		c.counts.ended[end]++
		c.guard.attempt(now, f, end)
		for i := range t.flows {
			if t.flows[i] == f {
				t.flows = append(t.flows[:i], t.flows[i+1:]...)
				break
			}
		}
		switch {
		case t.closed:
			late = true
		case end == EndServed:
			answer.Kind, answer.Tried = Served, true
			c.final(t, answer)
		case end == EndDenied:
			c.final(t, Answer{Kind: Denied, Tried: true})
		}
		closed := t.closed
		t.era.module.Outcome(now, policy.Outcome{ID: t.ID, Attempt: f.no, Server: f.Server, Elapsed: now - f.sent,
			Ending: endings[end].ending, Answered: closed, BodyConsumed: f.Spent, Units: answer.Units, LoadReport: answer.Report})
		if t.closed && len(t.flows) == 0 {
			c.forget(t)
		}
	})
	if late { // what it holds may be a connection
		answer.Drop()
	}
}

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
	Server       policy.ServerID
	Until        time.Time
	Message      any
	BodyConsumed bool // the carrier's word that the message can't be sent again

	core      *Core
	tx        *transaction
	number    int
	sentAt    Time
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
		return EndAlreadyAnswered, false
	}
	if !f.tx.generation.module.MayBegin(f.core.Now(), f.tx.ID, f.number) {
		return EndRepeatUnsafe, false
	}
	f.conn = conn
	return EndNone, true
}

// Came tells that the last byte of a body that was still coming has been written: from now on the flow has as long as the
// client waits.
func (f *Flow) BodySent() {
	f.core.handle(func(now Time) {
		t := f.tx
		if !t.BodyPending || t.closed {
			return
		}
		t.Deadline = now + t.BodyTimeout
		f.sentAt, f.Until = now, f.core.At(t.Deadline)
		t.generation.module.BodySent(now, t.ID, t.Deadline)
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
	end, answer := EndCheckFailed, Answer{}
	verdict := Active
	if f.recheck {
		verdict, _ = f.tx.Authorize(f.tx.Deadline - checkMargin)
	}
	switch verdict {
	case Active:
		end, answer = c.carrier.Carry(f)
	case Inactive:
		end = EndUnauthorized
	}
	late := false
	c.handle(func(now Time) {
		t := f.tx
		c.counts.ended[end]++
		c.storm.attempt(now, f, end)
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
			answer.Kind, answer.Attempted = Served, true
			c.finish(t, answer)
		case end == EndUnauthorized:
			c.finish(t, Answer{Kind: Unauthorized, Attempted: true})
		}
		closed := t.closed
		t.generation.module.Outcome(now, policy.Outcome{ID: t.ID, Attempt: f.number, Server: f.Server, Elapsed: now - f.sentAt,
			Ending: endTable[end].ending, Answered: closed, BodyConsumed: f.BodyConsumed, Units: answer.Units, LoadReport: answer.LoadReport})
		if t.closed && len(t.flows) == 0 {
			c.remove(t)
		}
	})
	if late { // what it holds may be a connection
		answer.Discard()
	}
}

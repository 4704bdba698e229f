package core

import (
	"io"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Carrier takes a server-side flow to its pool member and back. It calls Flow.Begin right before the first byte
// and ends when Flow.Until is reached at the latest.
type Carrier interface {
	Carry(f *Attempt) (End, Answer)
}

// Flow is one server-side flow.
type Attempt struct {
	Server       policy.ServerID
	Until        time.Time
	Message      any
	BodyConsumed bool // the carrier's word that the message can't be sent again

	core        *Core
	transaction *transaction
	number      int
	sentAt      Time
	recheck     bool
	cancelled   bool
	conn        io.Closer
}

// To gives the pool member that the flow goes to.
func (f *Attempt) To() policy.ServerID { return f.Server }

// By gives the moment at which the flow ends at the latest.
func (f *Attempt) By() time.Time { return f.Until }

// Begin tells whether the first byte may still be written to a connection, which it remembers for a cancel. A
// flow whose transaction was answered while it dialled must not reach a server, nor may one that the module would no longer
// send.
func (f *Attempt) Begin(conn io.Closer) (End, bool) {
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	if f.cancelled {
		return EndCancelled, false
	}
	if f.transaction.answered {
		return EndAlreadyAnswered, false
	}
	if !f.transaction.generation.module.MayBegin(f.core.Now(), f.transaction.ID, f.number) {
		return EndRepeatUnsafe, false
	}
	f.conn = conn
	return EndNone, true
}

// Came tells that the last byte of a body that was still coming has been written: from now on the flow has as long as the
// client waits.
func (f *Attempt) BodySent() {
	f.core.handle(func(now Time) {
		t := f.transaction
		if !t.BodyPending || t.answered {
			return
		}
		t.Deadline = now + t.BodyTimeout
		f.sentAt, f.Until = now, f.core.At(t.Deadline)
		t.generation.module.BodySent(now, t.ID, t.Deadline)
	})
}

// Finish gives the connection back, so that a late cancel can't close what another flow uses. It tells
// whether the flow was cancelled.
func (f *Attempt) Finish() bool {
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	f.conn = nil
	return f.cancelled
}

// carry takes one flow to its end, which goes to the module whether or not the client still waits: what runs on
// after the answer still tells of its pool member.
func (c *Core) carryAttempt(f *Attempt) {
	end, answer := EndCheckFailed, Answer{}
	verdict := Active
	if f.recheck {
		verdict, _ = f.transaction.Authorize(f.transaction.Deadline - authorizeMargin)
	}
	switch verdict {
	case Active:
		end, answer = c.carrier.Carry(f)
	case Inactive:
		end = EndUnauthorized
	}
	late := false
	c.handle(func(now Time) {
		t := f.transaction
		c.counts.ended[end]++
		c.storm.recordAttempt(now, f, end)
		for i := range t.inFlight {
			if t.inFlight[i] == f {
				t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
				break
			}
		}
		switch {
		case t.answered:
			late = true
		case end == EndServed:
			answer.Kind, answer.Attempted = Served, true
			c.finish(t, answer)
		case end == EndUnauthorized:
			c.finish(t, Answer{Kind: Unauthorized, Attempted: true})
		}
		closed := t.answered
		t.generation.module.Outcome(now, policy.Outcome{ID: t.ID, Attempt: f.number, Server: f.Server, Elapsed: now - f.sentAt,
			Ending: endTable[end].ending, Answered: closed, BodyConsumed: f.BodyConsumed, Units: answer.Units, LoadReport: answer.LoadReport})
		if t.answered && len(t.inFlight) == 0 {
			c.remove(t)
		}
	})
	if late { // what it holds may be a connection
		answer.Discard()
	}
}

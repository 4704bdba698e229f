package core

import (
	"io"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Carrier takes an attempt to its server and back. It must call Attempt.Begin right before the first byte, and return
// at Attempt.Until at the latest.
type Carrier interface {
	Carry(a *Attempt) (End, Answer)
}

// Attempt is one sending of a transaction to a server.
type Attempt struct {
	Server       policy.ServerID
	Until        time.Time // when it ends at the latest
	Message      any       // Request.Message
	BodyConsumed bool      // set by the carrier: the message can't be sent again

	core        *Core
	transaction *transaction
	number      int  // among the transaction's, from 0
	sentAt      Time // moved on by a pause of this process, and when a pending body is complete
	recheck     bool // Request.Authorize is to be called before it is carried
	cancelled   bool
	conn        io.Closer // from Begin to Finish; closed to cancel the attempt
}

// To gives the server that the attempt goes to.
func (a *Attempt) To() policy.ServerID { return a.Server }

// By gives the time at which the attempt ends at the latest.
func (a *Attempt) By() time.Time { return a.Until }

// Begin tells whether the first byte may be written to a connection, which is closed if the attempt is cancelled
// before Finish. It may not where the transaction was answered while the connection was set up, or where policy would
// no longer send the attempt; the End tells why.
func (a *Attempt) Begin(conn io.Closer) (End, bool) {
	a.core.mu.Lock()
	defer a.core.mu.Unlock()
	tx := a.transaction
	if a.cancelled {
		return EndCancelled, false
	}
	if tx.answered {
		return EndAlreadyAnswered, false
	}
	if !tx.generation.gateway.MayBegin(a.core.Now(), tx.ID, a.number) {
		return EndRepeatUnsafe, false
	}
	a.conn = conn
	return EndNone, true
}

// BodySent takes in that the last byte of a pending body has been written: from now on the attempt has
// Request.BodyTimeout.
func (a *Attempt) BodySent() {
	a.core.handle(func(now Time) {
		tx := a.transaction
		if !tx.BodyPending || tx.answered {
			return
		}
		tx.Deadline = now + tx.BodyTimeout
		a.sentAt, a.Until = now, a.core.At(tx.Deadline)
		tx.generation.gateway.BodySent(now, tx.ID, tx.Deadline)
	})
}

// Finish gives the connection back, so that a late cancel can't close it under another attempt. It tells whether the
// attempt was cancelled.
func (a *Attempt) Finish() (cancelled bool) {
	a.core.mu.Lock()
	defer a.core.mu.Unlock()
	a.conn = nil
	return a.cancelled
}

// carryAttempt takes an attempt to its end, which goes to policy whether or not the client still waits: it says
// something of its server.
func (c *Core) carryAttempt(a *Attempt) {
	end, answer := EndCheckFailed, Answer{}
	verdict := Active
	if a.recheck {
		verdict, _ = a.transaction.Authorize(a.transaction.Deadline - authorizeMargin)
	}
	switch verdict {
	case Active:
		end, answer = c.carrier.Carry(a)
	case Inactive:
		end = EndUnauthorized
	}
	late := false
	c.handle(func(now Time) { late = c.attemptEnded(now, a, end, answer) })
	if late { // what the answer holds may be a connection
		answer.Discard()
	}
}

// attemptEnded takes the end of an attempt in. It tells whether it came after the final answer. The mutex is held.
func (c *Core) attemptEnded(now Time, a *Attempt, end End, answer Answer) (late bool) {
	tx := a.transaction
	c.counts.ended[end]++
	c.storm.recordAttempt(now, a, end)
	if i := slices.Index(tx.inFlight, a); i >= 0 {
		tx.inFlight = slices.Delete(tx.inFlight, i, i+1)
	}
	switch {
	case tx.answered:
		late = true
	case end == EndServed:
		answer.Kind, answer.Attempted = Served, true
		c.finish(tx, answer)
	case end == EndUnauthorized:
		c.finish(tx, Answer{Kind: Unauthorized, Attempted: true})
	}
	tx.generation.gateway.Outcome(now, policy.Outcome{ID: tx.ID, Attempt: a.number, Server: a.Server,
		Elapsed: now - a.sentAt, Ending: endTable[end].ending, Answered: tx.answered, BodyConsumed: a.BodyConsumed,
		Units: answer.Units, LoadReport: answer.LoadReport})
	if tx.answered && len(tx.inFlight) == 0 {
		c.remove(tx)
	}
	return late
}

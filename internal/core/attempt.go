package core

import (
	"io"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Carrier sends an attempt to its server and reads the response. Carry must call Attempt.Begin right before it writes
// the first byte, and return at Attempt.Until at the latest.
type Carrier interface {
	Carry(a *Attempt) (End, Answer)
}

// Attempt is one sending of a transaction to a server.
type Attempt struct {
	Server       policy.ServerID
	Until        time.Time // when the attempt ends at the latest
	Message      any       // Request.Message
	BodyConsumed bool      // set by the carrier: the message can't be sent again

	core        *Core
	transaction *transaction
	number      int  // of the attempt within its transaction, from 0
	sentAt      Time // moved forward after a pause of this process, and when a pending body has been sent
	recheck     bool // Request.Authorize must be called before the Carrier
	cancelled   bool
	conn        io.Closer // from Begin to Finish; closed to cancel the attempt
}

// To returns the server that the attempt goes to.
func (a *Attempt) To() policy.ServerID { return a.Server }

// By returns the time at which the attempt ends at the latest.
func (a *Attempt) By() time.Time { return a.Until }

// Begin reports whether the first byte may be written to conn. If so, conn is closed if the attempt is cancelled before
// Finish. If not, the End is the reason: the attempt was cancelled or the transaction answered while the connection was
// set up, or policy would no longer send the attempt.
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

// BodySent records that the last byte of a pending body has been written, and sets the deadline to Request.BodyTimeout
// from now.
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

// Finish detaches the connection from the attempt, so that a late cancel can't close it while another attempt uses it.
// It reports whether the attempt was cancelled.
func (a *Attempt) Finish() (cancelled bool) {
	a.core.mu.Lock()
	defer a.core.mu.Unlock()
	a.conn = nil
	return a.cancelled
}

// carryAttempt passes an attempt to the Carrier and reports its end to policy. It does so whether or not the client
// still waits, because the end says something about the server.
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
	if late { // the answer may hold a connection
		answer.Discard()
	}
}

// attemptEnded handles the end of an attempt and reports whether it came after the final answer. The mutex is held.
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

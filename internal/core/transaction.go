package core

import (
	"context"
	"time"

	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// Request is what a front hands in. The ID of the embedded request is set by Serve, its Deadline by the front.
type Request struct {
	policy.Request
	Generation int // of the settings that Class and Plan are indices in
	Message    any // for the Carrier

	// BodyTimeout is how long the client waits from the last byte of its body on, where BodyPending is set.
	BodyTimeout time.Duration

	// Authorize asks whether the client has a right to go on, until a time. It is called before the first attempt and
	// again before any other. Without a verdict it gives a wait for the refusal. Nil means that nothing is asked.
	Authorize func(until Time) (Verdict, time.Duration)
}

// Verdict is what Request.Authorize says of a client's right to go on.
type Verdict uint8

// The verdicts; the words are those of token introspection (RFC 7662).
const (
	Unknown Verdict = iota
	Active
	Inactive
)

// transaction is a request from when it is registered to its final answer and the end of its last attempt.
type transaction struct {
	Request
	generation      *generation
	arrival         storm.Arrival
	answered        bool       // its final answer is queued, or nobody waits for it
	inFlight        []*Attempt // in the order in which they were started
	attemptsStarted int
	timers          []*time.Timer
	actions         chan any // *Attempt to be carried or the final Answer; has capacity for all that policy can order
}

// authorizeMargin is how long before the deadline Request.Authorize must end. An attempt that still waits for its
// verdict at the deadline looks as if it may have run, and its client could not be told that it may repeat it.
const authorizeMargin = 25 * time.Millisecond

// Serve takes a transaction to its final answer. It ends early when ctx does: the client has left and nobody waits
// for an answer.
func (c *Core) Serve(ctx context.Context, in Request) Answer {
	tx := &transaction{Request: in}
	known, wait := c.register(tx)
	if !known { // it has not run: a repeat, under the settings in force, is harmless
		return c.countAnswer(Answer{Kind: Refused})
	}
	if wait > 0 { // this process was paused, and reads what it was sent meanwhile
		time.Sleep(wait)
	}
	if refused, wait := c.stormVerdict(tx); refused {
		return c.countAnswer(Answer{Kind: Refused, RetryAfter: wait})
	}
	if answer, over := c.answerUnauthorized(ctx, tx); over {
		return c.countAnswer(answer)
	}
	c.handle(func(now Time) { tx.generation.gateway.Request(now, tx.Request.Request) })
	// A verdict holds for an attempt that is sent at once, not for one that was queued or is a retry.
	authorized := len(tx.actions) > 0
	for {
		select {
		case action := <-tx.actions:
			switch action := action.(type) {
			case *Attempt:
				action.recheck = in.Authorize != nil && !authorized
				authorized = false
				go c.carryAttempt(action)
			case Answer:
				return c.countAnswer(action)
			}
		case <-ctx.Done():
			c.abandon(tx)
			return c.countAnswer(Answer{Kind: ClientGone})
		}
	}
}

// answerUnauthorized gives the final answer of a transaction whose client has left or isn't authorized; over is
// false where the client is. Policy doesn't hear of such a transaction: it draws no units. The wait for a verdict
// ends with the deadline as register has corrected it.
func (c *Core) answerUnauthorized(ctx context.Context, tx *transaction) (answer Answer, over bool) {
	verdict, wait := Active, time.Duration(0)
	if tx.Authorize != nil {
		verdict, wait = tx.Authorize(tx.Deadline - authorizeMargin)
	}
	gone := ctx.Err() != nil
	if !gone && verdict == Active {
		return Answer{}, false
	}
	c.mu.Lock()
	c.close(tx)
	c.mu.Unlock()
	switch {
	case gone:
		return Answer{Kind: ClientGone}, true
	case verdict == Inactive:
		return Answer{Kind: Unauthorized}, true
	}
	return Answer{Kind: Refused, Attempted: true, RetryAfter: c.refusalWait(tx, wait)}, true // it has not run
}

// register numbers a transaction: with a counter, as policy shifts the number into the tags of timers. known is false
// where the settings that the front has read it under are no longer kept, or the process ends. wait is how long to
// wait before policy is asked. The time that a request may have lain unread while the process was paused is taken off
// its deadline.
func (c *Core) register(tx *transaction) (known bool, wait time.Duration) {
	c.handle(func(now Time) {
		c.counts.taken++
		if tx.generation = c.generationByNumber(tx.Generation); tx.generation == nil || c.shutDown {
			return
		}
		unread, resumeWait := c.recovery.RequestRead(now, tx.Deadline-now)
		tx.Deadline -= unread
		c.lastID++
		tx.ID = c.lastID
		c.transactions[tx.ID] = tx
		tx.generation.openTransactions++
		tx.actions = make(chan any, max(1, tx.generation.cfg.MaxAttempts)+2)
		known, wait = true, resumeWait
	})
	return known, wait
}

// abandon ends a transaction whose client has left. An attempt that was ordered meanwhile is carried all the same: it
// writes nothing, as the transaction is answered, and its end goes to policy.
func (c *Core) abandon(tx *transaction) {
	c.clientLeft(tx)
	for len(tx.actions) > 0 {
		switch action := (<-tx.actions).(type) {
		case *Attempt:
			go c.carryAttempt(action)
		case Answer:
			action.Discard()
		}
	}
}

// clientLeft tells policy that the client has left, unless the transaction has its final answer.
func (c *Core) clientLeft(tx *transaction) {
	c.handle(func(now Time) {
		if !tx.answered {
			c.close(tx)
			c.storm.recordFailed(now, tx)
			tx.generation.gateway.ClientGone(now, tx.ID)
		}
	})
}

// finish queues the final answer, unless there is one. The mutex is held.
func (c *Core) finish(tx *transaction, answer Answer) {
	if !tx.answered {
		c.close(tx)
		tx.actions <- answer
	}
}

// close notes that a transaction has its final answer. The mutex is held.
func (c *Core) close(tx *transaction) {
	tx.answered = true
	for _, timer := range tx.timers { // each that fires would wake the process for nothing
		timer.Stop()
	}
	tx.timers = nil
	if len(tx.inFlight) == 0 {
		c.remove(tx)
	}
}

// remove forgets a transaction that nothing more comes for. The mutex is held.
func (c *Core) remove(tx *transaction) {
	if c.transactions[tx.ID] == tx {
		delete(c.transactions, tx.ID)
		tx.generation.openTransactions--
		c.prune()
	}
}

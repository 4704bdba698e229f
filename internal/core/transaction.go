package core

import (
	"context"
	"time"

	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// Request is a request as a front passes it to Core.Serve. Serve sets the ID of the embedded request, the front its
// Deadline.
type Request struct {
	policy.Request
	Generation int // of the settings that Class and Plan are indices in
	Message    any // for the Carrier

	// BodyTimeout is how long the client waits after the last byte of its body. It is used where BodyPending is set.
	BodyTimeout time.Duration

	// Authorize checks whether the client is authorized, and must return by the time until. It is called before policy
	// decides on the request, and again before an attempt that was queued or is a retry. With the verdict Unknown it
	// returns the Retry-After of a refusal. Nil means that no authorization is needed.
	Authorize func(until Time) (Verdict, time.Duration)
}

// Verdict is the result of Request.Authorize.
type Verdict uint8

// The verdicts. Active and Inactive are terms of token introspection (RFC 7662). Unknown means that the check gave no
// result.
const (
	Unknown Verdict = iota
	Active
	Inactive
)

// transaction is a request from its registration until it has its final answer and its last attempt has ended.
type transaction struct {
	Request
	generation      *generation
	arrival         storm.Arrival
	answered        bool       // its final answer is queued, or nobody waits for it
	inFlight        []*Attempt // in the order in which they were started
	attemptsStarted int
	timers          []*time.Timer
	actions         chan any // each *Attempt to be sent and the final Answer; has capacity for all that policy can order
}

// authorizeMargin is how long before the deadline Request.Authorize must return. An attempt that still waits for its
// verdict at the deadline counts as one that may have run, so the client could not be told that it may repeat the
// request.
const authorizeMargin = 25 * time.Millisecond

// Serve processes a transaction and returns its final answer. It returns early, with ClientGone, when ctx ends, because
// the client has left and nobody waits for an answer.
func (c *Core) Serve(ctx context.Context, in Request) Answer {
	tx := &transaction{Request: in}
	known, wait := c.register(tx)
	if !known { // the request has not run: a repeat, under the settings in force, is harmless
		return c.countAnswer(Answer{Kind: Refused})
	}
	if wait > 0 { // this process was paused, and reads requests that arrived meanwhile
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

// answerUnauthorized returns the final answer of a transaction whose client has left or isn't authorized; over is
// false if the transaction goes on. A transaction that ends here isn't passed to policy and draws no units. The wait
// for a verdict ends authorizeMargin before the deadline as register has corrected it.
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
	return Answer{Kind: Refused, Attempted: true, RetryAfter: c.refusalWait(tx, wait)}, true // the request has not run
}

// register assigns an ID to a transaction and adds it to the open ones. IDs come from a counter, because policy shifts
// them into the tags of timers. known is false if the generation under which the front has read the request is
// retired, or the process is shutting down. wait is how long to wait before the request is decided on. If the process
// was paused, the time for which the request may have been waiting in a socket is subtracted from its deadline.
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

// abandon ends a transaction whose client has left. An attempt that was ordered meanwhile is passed to the Carrier all
// the same: nothing is written, as the transaction counts as answered, and the end is reported to policy.
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

// clientLeft reports to policy that the client has left, unless the transaction has its final answer.
func (c *Core) clientLeft(tx *transaction) {
	c.handle(func(now Time) {
		if !tx.answered {
			c.close(tx)
			c.storm.recordFailed(now, tx)
			tx.generation.gateway.ClientGone(now, tx.ID)
		}
	})
}

// finish queues the final answer, unless the transaction has one. The mutex is held.
func (c *Core) finish(tx *transaction, answer Answer) {
	if !tx.answered {
		c.close(tx)
		tx.actions <- answer
	}
}

// close marks a transaction as answered and stops its timers. The mutex is held.
func (c *Core) close(tx *transaction) {
	tx.answered = true
	for _, timer := range tx.timers { // a timer that fires after the answer would wake the process for nothing
		timer.Stop()
	}
	tx.timers = nil
	if len(tx.inFlight) == 0 {
		c.remove(tx)
	}
}

// remove deletes a transaction that is answered and has no attempt in flight. The mutex is held.
func (c *Core) remove(tx *transaction) {
	if c.transactions[tx.ID] == tx {
		delete(c.transactions, tx.ID)
		tx.generation.openTransactions--
		c.prune()
	}
}

package ledger

import (
	"math"
	"time"
)

// coldMargin is the share of a cold member's budget that all gateways together use.
const slowStartMargin = 0.6

// Cold is one gateway's part of what a member that has just started is sent by all of them: no more in any window than a
// multiple of what the member can do then. What it can do is known from its answers: what it was seen to answer here, and
// what a warm one answers here, less by its warmth. Answers are somebody's alone, so the parts of all gateways add up to
// what the member does for all of them, times the multiple and the margin. A gateway that has neither seen answers nor can
// say how long one takes has its even part of one attempt in a window.
type SlowStartBudget struct {
	Sent       []time.Duration // within the window, oldest first
	Credit     float64         // 1: it may be sent one attempt, where the part is less than that
	CreditedAt time.Duration   // when the turn was last looked at
}

// ColdLimit is what a part is of.
type SlowStartLimit struct {
	Window   time.Duration
	Multiple float64 // of what the member can do in it, by the rule
	Capacity float64 // attempts that it can do in a window for this gateway
	Gateways int     // gateways
	Slowdown float64 // how much more slowly cold members answer than their warmth explains; 1 and less: they don't
}

// Covers tells whether the part has room for one attempt now. A part below one attempt comes as a turn, at a time of its own
// as there may be hundreds of gateways, and is gone after half a window.
func (c *SlowStartBudget) Allows(now time.Duration, l SlowStartLimit) bool {
	for len(c.Sent) > 0 && now-c.Sent[0] > l.Window {
		c.Sent = c.Sent[1:]
	}
	budget := math.Max(slowStartMargin*l.Multiple*l.Capacity, 1/float64(l.Gateways))
	if budget < 1 { // all that have a turn take it: it is for what the member can do, not for what it bears
		budget /= math.Max(1, slowStartMargin*l.Multiple) * math.Max(1, l.Slowdown)
	}
	c.Credit += budget * (now - c.CreditedAt).Seconds() / l.Window.Seconds()
	c.Credit -= math.Max(0, math.Ceil(c.Credit-1-budget/2))
	c.CreditedAt = now
	return float64(len(c.Sent))+1 <= budget || len(c.Sent) == 0 && c.Credit >= 1
}

// Sent counts an attempt.
func (c *SlowStartBudget) RecordSend(now time.Duration) {
	c.Sent = append(c.Sent, now)
	c.Credit--
}

// Recent tells whether anything was sent within a window.
func (c *SlowStartBudget) SentWithin(now, window time.Duration) bool {
	return len(c.Sent) > 0 && now-c.Sent[len(c.Sent)-1] <= window
}

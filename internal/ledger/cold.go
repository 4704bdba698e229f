package ledger

import (
	"math"
	"time"
)

// coldMargin is the share of a cold member's budget that all gateways together use.
const coldMargin = 0.6

// Cold is one gateway's part of what a member that has just started is sent by all of them: no more in any window than a
// multiple of what the member can do then. What it can do is known from its answers: what it was seen to answer here, and
// what a warm one answers here, less by its warmth. Answers are somebody's alone, so the parts of all gateways add up to
// what the member does for all of them, times the multiple and the margin. A gateway that has neither seen answers nor can
// say how long one takes has its even part of one attempt in a window.
type Cold struct {
	Sends []time.Duration // within the window, oldest first
	Turn  float64         // 1: it may be sent one attempt, where the part is less than that
	At    time.Duration   // when the turn was last looked at
}

// ColdLimit is what a part is of.
type ColdLimit struct {
	Window   time.Duration
	Multiple float64 // of what the member can do in it, by the rule
	Does     float64 // attempts that it can do in a window for this gateway
	N        int     // gateways
	Slower   float64 // how much more slowly cold members answer than their warmth explains; 1 and less: they don't
}

// Covers tells whether the part has room for one attempt now. A part below one attempt comes as a turn, at a time of its own
// as there may be hundreds of gateways, and is gone after half a window.
func (c *Cold) Covers(now time.Duration, l ColdLimit) bool {
	for len(c.Sends) > 0 && now-c.Sends[0] > l.Window {
		c.Sends = c.Sends[1:]
	}
	budget := math.Max(coldMargin*l.Multiple*l.Does, 1/float64(l.N))
	if budget < 1 { // all that have a turn take it: it is for what the member can do, not for what it bears
		budget /= math.Max(1, coldMargin*l.Multiple) * math.Max(1, l.Slower)
	}
	c.Turn += budget * (now - c.At).Seconds() / l.Window.Seconds()
	c.Turn -= math.Max(0, math.Ceil(c.Turn-1-budget/2))
	c.At = now
	return float64(len(c.Sends))+1 <= budget || len(c.Sends) == 0 && c.Turn >= 1
}

// Sent counts an attempt.
func (c *Cold) Sent(now time.Duration) {
	c.Sends = append(c.Sends, now)
	c.Turn--
}

// Recent tells whether anything was sent within a window.
func (c *Cold) Recent(now, window time.Duration) bool {
	return len(c.Sends) > 0 && now-c.Sends[len(c.Sends)-1] <= window
}

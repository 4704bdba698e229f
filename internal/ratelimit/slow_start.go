package ratelimit

import (
	"math"
	"time"
)

// slowStartMargin is the part of a warming server's budget that the gateways use. The rest is a margin for differences
// between their estimates of the server's capacity.
const slowStartMargin = 0.6

// SlowStartBudget is one gateway's share of the attempts that all gateways together may send to a server that is
// warming up: in any window at most a multiple of the server's capacity. A gateway knows its share of the capacity from
// answers: those that it got from the server, or those that it gets from a warm server, scaled by the warmth. Each
// answer goes to one gateway, so the shares of all gateways add up to the server's capacity times the multiple and the
// margin. A gateway without such answers has an equal share of one attempt in a window.
type SlowStartBudget struct {
	Sent       []time.Duration // attempts within the window, oldest first
	Credit     float64         // for shares below one attempt: one attempt is allowed when it reaches 1
	CreditedAt time.Duration   // when Credit was last brought up to date
}

// SlowStartLimit is the limit that a budget is a share of.
type SlowStartLimit struct {
	Window   time.Duration
	Multiple float64 // of the server's capacity in a window, which all gateways together may send
	Capacity float64 // attempts of this gateway that the server can answer in a window
	Gateways int
	Slowdown float64 // factor by which warming servers are slower than their warmth explains; up to 1: they aren't
}

// Allows reports whether the share has room for one attempt now. A share below one attempt accrues as credit. Credit is
// used when the next request arrives, which is a random time at each gateway; this spreads the attempts of gateways, of
// which there may be hundreds. Credit expires after half a window.
func (b *SlowStartBudget) Allows(now time.Duration, l SlowStartLimit) bool {
	for len(b.Sent) > 0 && now-b.Sent[0] > l.Window {
		b.Sent = b.Sent[1:]
	}
	budget := math.Max(slowStartMargin*l.Multiple*l.Capacity, 1/float64(l.Gateways))
	if budget < 1 {
		// Every gateway that has credit uses it, so these shares add up to the server's capacity, not to the multiple.
		budget /= math.Max(1, slowStartMargin*l.Multiple) * math.Max(1, l.Slowdown)
	}
	b.Credit += budget * (now - b.CreditedAt).Seconds() / l.Window.Seconds()
	b.Credit -= math.Max(0, math.Ceil(b.Credit-1-budget/2))
	b.CreditedAt = now
	return float64(len(b.Sent))+1 <= budget || len(b.Sent) == 0 && b.Credit >= 1
}

// RecordSend counts an attempt that was sent.
func (b *SlowStartBudget) RecordSend(now time.Duration) {
	b.Sent = append(b.Sent, now)
	b.Credit--
}

// SentWithin reports whether an attempt was sent within the window before now.
func (b *SlowStartBudget) SentWithin(now, window time.Duration) bool {
	return len(b.Sent) > 0 && now-b.Sent[len(b.Sent)-1] <= window
}

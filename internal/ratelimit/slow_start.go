package ratelimit

import (
	"math"
	"time"
)

// slowStartMargin is the part of a warming server's budget that the gateways use. The rest is for their disagreement on
// what the server can do.
const slowStartMargin = 0.6

// SlowStartBudget is one gateway's share of what a server that is warming up may be sent by all gateways: in any
// window no more than a multiple of what it can do. What it can do for a gateway is known from its answers there:
// those that the gateway has seen, or those that a warm server gives it, less by the warmth. Each answer goes to one
// gateway, so the shares of all add up to what the server does for all, times the multiple and the margin. A gateway
// that has no answers to go by has an equal share of one attempt in a window.
type SlowStartBudget struct {
	Sent       []time.Duration // attempts within the window, oldest first
	Credit     float64         // for shares below one attempt: at 1 the server may be sent one
	CreditedAt time.Duration   // when Credit was last brought up to date
}

// SlowStartLimit is the limit that a budget is a share of.
type SlowStartLimit struct {
	Window   time.Duration
	Multiple float64 // of what the server can do in a window, that all gateways together may send
	Capacity float64 // attempts that the server can answer this gateway in a window
	Gateways int
	Slowdown float64 // by how much warming servers are slower than their warmth explains; at most 1: they are not
}

// Allows reports whether the share has room for one attempt now. A share below one attempt accrues as credit. Credit
// is used at a random time, that of the next request, as there may be hundreds of gateways, and expires after half a
// window.
func (b *SlowStartBudget) Allows(now time.Duration, l SlowStartLimit) bool {
	for len(b.Sent) > 0 && now-b.Sent[0] > l.Window {
		b.Sent = b.Sent[1:]
	}
	budget := math.Max(slowStartMargin*l.Multiple*l.Capacity, 1/float64(l.Gateways))
	if budget < 1 {
		// Every gateway that has credit uses it, so these shares add up to what the server can do, not to the multiple.
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

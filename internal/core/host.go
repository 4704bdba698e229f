package core

import (
	"log/slog"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// host carries out the choices of an era's module. Its methods are called inside the module's, with the mutex held: they
// queue and return.
type host struct {
	c *Core
	e *era
}

func (h host) Send(id policy.RequestID, to policy.ServerID, until Time) {
	t := h.c.live[id]
	if t == nil || t.closed {
		return
	}
	f := &Flow{Server: to, Until: h.c.At(min(until, t.Deadline)), Message: t.Message, core: h.c, tx: t, no: t.sent,
		sent: h.c.Now()}
	t.sent++
	h.c.counts.sent++
	t.flows = append(t.flows, f)
	t.orders <- f
	h.c.sent(t, to)
}

func (h host) Refuse(id policy.RequestID, wait time.Duration) {
	if t := h.c.live[id]; t != nil {
		h.c.final(t, Answer{Kind: Refused, Tried: t.sent > 0, RetryAfter: h.c.guard.refused(h.c.Now(), t, wait)})
	}
}

func (h host) Fail(id policy.RequestID) {
	if t := h.c.live[id]; t != nil {
		h.c.guard.failed(h.c.Now(), t)
		h.c.final(t, Answer{Kind: Failed, Tried: t.sent > 0, Waiting: len(t.flows) > 0})
	}
}

func (h host) Cancel(id policy.RequestID, attempt int) {
	t := h.c.live[id]
	if t == nil {
		return
	}
	for _, f := range t.flows {
		if f.no == attempt && !f.cancelled {
			f.cancelled = true
			if f.conn != nil {
				go f.conn.Close() // not under the mutex
			}
		}
	}
}

func (h host) Timer(tag uint64, after time.Duration) {
	timer := time.AfterFunc(after, func() {
		h.c.event(func(now Time) {
			if !h.e.over {
				h.e.module.Timer(now, tag)
			}
		})
	})
	if t := h.c.live[policy.TimerRequest(tag)]; t != nil && !t.closed {
		t.timers = append(t.timers, timer)
	}
}

func (h host) Tell(peer int, message []byte) {
	if h.e == h.c.era { // the gateway speaks with one voice
		h.c.tells = append(h.c.tells, tell{peer, message})
	}
}

func (h host) Watch() {} // discovery is always watched

func (h host) Log(text string) {
	h.c.lines = append(h.c.lines, line{"module", []slog.Attr{slog.String("text", text)}})
}

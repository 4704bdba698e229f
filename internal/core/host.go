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
	e *generation
}

func (h host) Send(id policy.RequestID, to policy.ServerID, until Time) {
	t := h.c.transactions[id]
	if t == nil || t.closed {
		return
	}
	f := &Flow{Server: to, Until: h.c.At(min(until, t.Deadline)), Message: t.Message, core: h.c, tx: t, number: t.flowsStarted,
		sentAt: h.c.Now()}
	t.flowsStarted++
	h.c.counts.sent++
	t.flows = append(t.flows, f)
	t.actions <- f
	h.c.announceSend(t, to)
}

func (h host) Refuse(id policy.RequestID, wait time.Duration) {
	if t := h.c.transactions[id]; t != nil {
		h.c.finish(t, Answer{Kind: Refused, Attempted: t.flowsStarted > 0, RetryAfter: h.c.storm.refused(h.c.Now(), t, wait)})
	}
}

func (h host) Fail(id policy.RequestID) {
	if t := h.c.transactions[id]; t != nil {
		h.c.storm.failed(h.c.Now(), t)
		h.c.finish(t, Answer{Kind: Failed, Attempted: t.flowsStarted > 0, TimedOut: len(t.flows) > 0})
	}
}

func (h host) Cancel(id policy.RequestID, attempt int) {
	t := h.c.transactions[id]
	if t == nil {
		return
	}
	for _, f := range t.flows {
		if f.number == attempt && !f.cancelled {
			f.cancelled = true
			if f.conn != nil {
				go f.conn.Close() // not under the mutex
			}
		}
	}
}

func (h host) Timer(tag uint64, after time.Duration) {
	timer := time.AfterFunc(after, func() {
		h.c.handle(func(now Time) {
			if !h.e.retired {
				h.e.module.Timer(now, tag)
			}
		})
	})
	if t := h.c.transactions[policy.TimerRequest(tag)]; t != nil && !t.closed {
		t.timers = append(t.timers, timer)
	}
}

func (h host) Tell(peer int, message []byte) {
	if h.e == h.c.current { // the gateway speaks with one voice
		h.c.pendingMessages = append(h.c.pendingMessages, peerMessage{peer, message})
	}
}

func (h host) Watch() {} // discovery is always watched

func (h host) Log(text string) {
	h.c.pendingLogs = append(h.c.pendingLogs, logLine{"module", []slog.Attr{slog.String("text", text)}})
}

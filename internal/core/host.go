package core

import (
	"log/slog"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// host carries out the choices of an era's module. Its methods are called inside the module's, with the mutex held: they
// queue and return.
type host struct {
	core       *Core
	generation *generation
}

func (h host) Send(id policy.RequestID, to policy.ServerID, until Time) {
	t := h.core.transactions[id]
	if t == nil || t.answered {
		return
	}
	f := &Attempt{Server: to, Until: h.core.At(min(until, t.Deadline)), Message: t.Message, core: h.core, transaction: t, number: t.attemptsStarted,
		sentAt: h.core.Now()}
	t.attemptsStarted++
	h.core.counts.sent++
	t.inFlight = append(t.inFlight, f)
	t.actions <- f
	h.core.announceSend(t, to)
}

func (h host) Refuse(id policy.RequestID, wait time.Duration) {
	if t := h.core.transactions[id]; t != nil {
		h.core.finish(t, Answer{Kind: Refused, Attempted: t.attemptsStarted > 0, RetryAfter: h.core.storm.refusalWait(h.core.Now(), t, wait)})
	}
}

func (h host) Fail(id policy.RequestID) {
	if t := h.core.transactions[id]; t != nil {
		h.core.storm.recordFailed(h.core.Now(), t)
		h.core.finish(t, Answer{Kind: Failed, Attempted: t.attemptsStarted > 0, TimedOut: len(t.inFlight) > 0})
	}
}

func (h host) Cancel(id policy.RequestID, attempt int) {
	t := h.core.transactions[id]
	if t == nil {
		return
	}
	for _, f := range t.inFlight {
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
		h.core.handle(func(now Time) {
			if !h.generation.retired {
				h.generation.module.Timer(now, tag)
			}
		})
	})
	if t := h.core.transactions[policy.TimerRequest(tag)]; t != nil && !t.answered {
		t.timers = append(t.timers, timer)
	}
}

func (h host) Tell(peer int, message []byte) {
	if h.generation == h.core.current { // the gateway speaks with one voice
		h.core.pendingMessages = append(h.core.pendingMessages, peerMessage{peer, message})
	}
}

func (h host) Watch() {} // discovery is always watched

func (h host) Log(text string) {
	h.core.pendingLogs = append(h.core.pendingLogs, logLine{"module", []slog.Attr{slog.String("text", text)}})
}

package core

import (
	"log/slog"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// host is the policy.Host of a generation's gateway. The gateway calls its methods with the mutex held, so they queue
// and return.
type host struct {
	core       *Core
	generation *generation
}

var _ policy.Host = host{}

// Send queues an attempt, which Core.Serve passes to the Carrier.
func (h host) Send(id policy.RequestID, to policy.ServerID, until Time) {
	tx := h.core.transactions[id]
	if tx == nil || tx.answered {
		return
	}
	a := &Attempt{Server: to, Until: h.core.At(min(until, tx.Deadline)), Message: tx.Message,
		core: h.core, transaction: tx, number: tx.attemptsStarted, sentAt: h.core.Now()}
	tx.attemptsStarted++
	h.core.counts.sent++
	tx.inFlight = append(tx.inFlight, a)
	tx.actions <- a
	h.core.announceSend(tx, to)
}

// Refuse gives the final answer to a transaction that has not run, or may run again.
func (h host) Refuse(id policy.RequestID, wait time.Duration) {
	if tx := h.core.transactions[id]; tx != nil {
		h.core.finish(tx, Answer{Kind: Refused, Attempted: tx.attemptsStarted > 0,
			RetryAfter: h.core.storm.refusalWait(h.core.Now(), tx, wait)})
	}
}

// Fail gives the final answer to a transaction that may have run.
func (h host) Fail(id policy.RequestID) {
	if tx := h.core.transactions[id]; tx != nil {
		h.core.storm.recordFailed(h.core.Now(), tx)
		h.core.finish(tx, Answer{Kind: Failed, Attempted: tx.attemptsStarted > 0, TimedOut: len(tx.inFlight) > 0})
	}
}

// Cancel closes the connection of an attempt, or prevents it from getting one.
func (h host) Cancel(id policy.RequestID, attempt int) {
	tx := h.core.transactions[id]
	if tx == nil {
		return
	}
	for _, a := range tx.inFlight {
		if a.number == attempt && !a.cancelled {
			a.cancelled = true
			if a.conn != nil {
				go a.conn.Close() // not under the mutex
			}
		}
	}
}

// Timer schedules a call of the gateway's Timer, unless the generation is retired or the transaction answered by then.
func (h host) Timer(tag uint64, after time.Duration) {
	timer := time.AfterFunc(after, func() {
		h.core.handle(func(now Time) {
			if !h.generation.retired {
				h.generation.gateway.Timer(now, tag)
			}
		})
	})
	if tx := h.core.transactions[policy.TimerRequest(tag)]; tx != nil && !tx.answered {
		tx.timers = append(tx.timers, timer)
	}
}

// SendToPeer queues a message to a peer. Messages of generations other than the current one are dropped: only the
// current generation's gateway speaks for this process.
func (h host) SendToPeer(peer int, message []byte) {
	if h.generation == h.core.current {
		h.core.pendingMessages = append(h.core.pendingMessages, peerMessage{peer, message})
	}
}

// Watch does nothing, because discovery is always watched.
func (h host) Watch() {}

// Log queues a log line.
func (h host) Log(text string) {
	h.core.pendingLogs = append(h.core.pendingLogs, logLine{"module", []slog.Attr{slog.String("text", text)}})
}

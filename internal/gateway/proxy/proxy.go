package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/connectionshare"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

// ControlState is what the gateway holds of the control processes' state; package subscription implements it.
type ControlState interface {
	// Configuration returns the configuration in force, or nil before the first.
	Configuration() *configuration.Snapshot
	// Members returns the processes of the system, or nil before the first list.
	Members() *protocol.MemberList
	// KeyLeaseValid reports whether API keys of the configuration in force may still be acted on.
	KeyLeaseValid(now time.Time) bool
	// ConfirmedSince reports whether control has confirmed since a moment that the state held is the latest.
	ConfirmedSince(moment time.Time) bool
	// AwaitConfirmation asks control at once, and waits until it has confirmed, no earlier than now, that the
	// state held is the latest. It returns false if that doesn't happen until by, or ctx ends.
	AwaitConfirmation(ctx context.Context, now, by time.Time) bool
}

// BatchCaller hands calls for batch jobs to a batch process; package batchproxy implements it.
type BatchCaller interface {
	Call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer
}

// Proxy is the http.Handler of a gateway's front port. Its exported fields are set once, before it serves.
type Proxy struct {
	Control   ControlState
	Servers   *endpoints.Registry
	Pool      *pool.Pool
	Selector  *serverselection.Selector
	Admission Admission
	Batch     BatchCaller
	// ConnectionShare is this gateway's part of the servers' connections.
	ConnectionShare *connectionshare.Share
	// Bodies bounds the memory that the bodies of requests and buffered responses take together.
	Bodies *buffers.Budget
	Log    zerolog.Logger
	// ExitTime returns when the process exits, and whether that limits a request that is read now. Nil: it
	// never exits.
	ExitTime func(now time.Time) (at time.Time, applies bool)
	// Outcomes counts how requests end. Nil: they aren't counted.
	Outcomes *outcomes.Counts
	// AnnouncePrefill announces to other gateways that a server has this many prompt tokens to read. Nil:
	// nothing is announced.
	AnnouncePrefill func(server uint64, tokens int)

	lateResponses logSampler
	splits        trafficSplits
	bugs          injectedBugs
}

// ServeHTTP serves one request of a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.bugs.ignoreDisconnect {
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	q, failure := p.readRequest(w, r)
	if failure != nil {
		p.countUnready(failure)
		failure.write(w)
		return
	}
	defer q.release()
	if q.operation != 0 {
		q.callBatch()
		return
	}
	q.prepare()
	if rejection := p.Admission.Admit(r.Context(), q.admission); rejection.Status != 0 {
		q.count(rejection.outcome())
		q.reject(rejection.Status, rejection.RetryAfter)
		return
	}
	q.admittedAt = time.Now()
	q.runAttempts()
}

// exitMargin is how long before the process exits a response must be out.
const exitMargin = 100 * time.Millisecond

// runsUntil reports whether a request that is read now can be served until a moment, which it can't if the
// process exits before.
func (p *Proxy) runsUntil(now, moment time.Time) bool {
	if p.ExitTime == nil {
		return true
	}
	at, applies := p.ExitTime(now)
	return !applies || moment.Before(at.Add(-exitMargin))
}

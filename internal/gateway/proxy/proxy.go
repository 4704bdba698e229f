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

// ControlState provides the gateway's copy of the control processes' state. Package subscription implements it.
type ControlState interface {
	// Configuration returns the configuration in force, or nil if there is none yet.
	Configuration() *configuration.Snapshot
	// Members returns the processes of the system, or nil if no list has been received yet.
	Members() *protocol.MemberList
	// KeyLeaseValid reports whether requests may still be served by API keys of the configuration in force.
	KeyLeaseValid(now time.Time) bool
	// ConfirmedSince reports whether control has confirmed, at moment or later, that this state is the latest.
	ConfirmedSince(moment time.Time) bool
	// AwaitConfirmation polls control at once and waits until control has confirmed, at now or later, that
	// this state is the latest. It returns false if that doesn't happen until by, or ctx ends.
	AwaitConfirmation(ctx context.Context, now, by time.Time) bool
}

// BatchCaller forwards calls for batch jobs to a batch process. Package batchproxy implements it.
type BatchCaller interface {
	Call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer
}

// Proxy is the http.Handler of a gateway's front port. Its exported fields must be set before it serves
// requests and not be changed afterwards.
type Proxy struct {
	Control   ControlState
	Servers   *endpoints.Registry
	Pool      *pool.Pool
	Selector  *serverselection.Selector
	Admission Admission
	Batch     BatchCaller
	// ConnectionShare computes this gateway's share of the connections to each server.
	ConnectionShare *connectionshare.Share
	// Bodies bounds the total memory of the bodies of requests and buffered responses.
	Bodies *buffers.Budget
	Log    zerolog.Logger
	// ExitTime returns the time at which the process exits, and whether a request that is read at now must be
	// complete by then. If nil, the process never exits.
	ExitTime func(now time.Time) (at time.Time, applies bool)
	// Outcomes counts requests by outcome. If nil, they aren't counted.
	Outcomes *outcomes.Counts
	// AnnouncePrefill announces to other gateways how many prompt tokens the server with this hash has to
	// read. If nil, nothing is announced.
	AnnouncePrefill func(server uint64, tokens int)

	lateResponses logSampler
	splits        trafficSplits
	bugs          injectedBugs
}

// ServeHTTP serves a client's request.
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
		if q.callBatch() {
			return
		}
		if failure := q.beginLive(); failure != nil {
			p.countUnready(failure)
			failure.write(w)
			return
		}
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

// exitMargin is the time before the process exits by which a response must have been sent.
const exitMargin = 100 * time.Millisecond

// runsUntil reports whether a request that is read at now can be served until moment. It can't if ExitTime
// applies to it and the process exits less than exitMargin after moment.
func (p *Proxy) runsUntil(now, moment time.Time) bool {
	if p.ExitTime == nil {
		return true
	}
	at, applies := p.ExitTime(now)
	return !applies || moment.Before(at.Add(-exitMargin))
}

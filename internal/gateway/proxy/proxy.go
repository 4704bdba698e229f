// Package proxy owns the life of a client's request in the gateway: it is read and checked, a server is chosen, the request goes
// there, and the answer comes back unchanged or not at all. Streams may be taken up at another server within one answer. What
// may follow an attempt is decided in internal/gateway/retry, the choice of a server in internal/gateway/serverselection. It must
// never send a byte to a server that the list, the lease of keys or an earlier attempt speaks against.
//
// internal/core's life of a transaction, and with it the module in policy, is not used here: it knows one answer a transaction,
// that is whole or has begun, and servers that differ in load alone.
package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Knowledge is what the gateway knows from control.
type ControlState interface {
	Configuration() *configuration.Snapshot // nil: none yet
	Members() *protocol.MemberList          // nil: none yet
	KeyLeaseValid(now time.Time) bool       // a first byte may go to a server, as far as keys are concerned
	// Await asks control at once and waits until it has vouched for what is known, until by.
	AwaitConfirmation(ctx context.Context, now, by time.Time) bool
}

// Admission decides which requests are sent on at all, by load and by quota. A nil tenant is that of a public route.
type Admission interface {
	// Admit is asked when a request has been read whole; a refusal without a status lets it in.
	Admit(ctx context.Context, wish AdmissionRequest) Rejection
	// Sent tells that a request has been sent to a server; again: after one that may have run it.
	Sent(wish AdmissionRequest, again bool)
	// Attempted tells how long an attempt took at a server, to its first event on a streaming route, to its answer on others, or
	// until it was given up.
	Attempted(wish AdmissionRequest, took time.Duration)
}

// Wish is a request as admission sees it.
type AdmissionRequest struct {
	Route    *configuration.Route
	Tenant   *configuration.Tenant
	Backend  string
	Workload serverselection.Workload
	Deadline time.Time
}

// Refusal is an answer that promises that nothing has run.
type Rejection struct {
	Status     int // 429 or 503; 0: none
	RetryAfter time.Duration
}

// Batch hands calls for batch jobs to a batch process.
type BatchCaller interface {
	Call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer
}

// Proxy serves clients' requests.
type Proxy struct {
	Control   ControlState
	Servers   *endpoints.Registry
	Pool      *pool.Pool
	Selector  *serverselection.Selector
	Admission Admission
	Batch     BatchCaller
	Bodies    *buffers.Budget
	Log       zerolog.Logger
	// Leaves gives when the process ends, and tells whether that counts for a request that is read now. Nil: it never does.
	ExitTime func(now time.Time) (at time.Time, counts bool)
	Outcomes *outcomes.Counts
	// Announce tells other gateways that a server has so many tokens to read. Nil: nobody is told.
	AnnouncePrefill func(server uint64, tokens int)

	lateAnswers logSampler
	bugs        injectedBugs // of tests
}

// unready is when to come back to a gateway that can't serve yet or now.
const unreadyRetryAfter = 250 * time.Millisecond

// lastAnswers is how long before the process's end an answer is out that can still be given.
const exitMargin = 100 * time.Millisecond

// staysUntil tells whether the process can answer a request that is read now until some moment.
func (p *Proxy) runsUntil(now, moment time.Time) bool {
	if p.ExitTime == nil {
		return true
	}
	at, counts := p.ExitTime(now)
	return !counts || moment.Before(at.Add(-exitMargin))
}

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
	if refusal := p.Admission.Admit(r.Context(), q.admission); refusal.Status != 0 {
		q.count(refusal.outcome())
		q.reject(refusal.Status, refusal.RetryAfter)
		return
	}
	q.admittedAt = time.Now()
	q.runAttempts()
}

// Everyone admits all requests.
type AdmitAll struct{}

// Admit lets a request in.
func (AdmitAll) Admit(context.Context, AdmissionRequest) Rejection { return Rejection{} }

// Sent does nothing.
func (AdmitAll) Sent(AdmissionRequest, bool) {}

// Attempted does nothing.
func (AdmitAll) Attempted(AdmissionRequest, time.Duration) {}

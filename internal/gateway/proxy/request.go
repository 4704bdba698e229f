package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/gateway/retry"
	"sprucelane.example/sprucelane/internal/gateway/sse"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/policy"
)

const (
	// transitMargin is subtracted from a request's time-out. The client counts the time-out from the sending
	// of the request; the margin covers the network and the last steps of a response.
	transitMargin = 10 * time.Millisecond
	// denialWait is how long a request waits for control to confirm that its route or key doesn't exist,
	// before it is rejected with 404 or 401.
	denialWait = 400 * time.Millisecond
	// firstConfigurationWait is how long a request waits for the process's first configuration.
	firstConfigurationWait = 1200 * time.Millisecond
	// defaultClientTimeout applies to clients that send no X-Deadline-Ms, on routes without a time-out.
	defaultClientTimeout = time.Minute
	maxRequestIDBytes    = 256
)

// request is a client's request and the state of its attempts. Only the goroutine that serves the request uses
// it.
type request struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time // by which the client must have its response
	id       string    // X-Request-Id, the same at each attempt
	body     body

	configuration *configuration.Snapshot // in which route and tenant were looked up
	route         *configuration.Route
	tenant        *configuration.Tenant   // nil if the request has none; see authenticate
	operation     protocol.BatchOperation // 0: a live request, not a call for a batch job
	liveRoute     *configuration.Route    // route of a request that turns out to be no call for a batch job; nil: none
	leaseExpired  bool                    // the key lease wasn't valid right before configuration was loaded

	admission   AdmissionRequest
	admittedAt  time.Time
	headerLines []byte // the headers that are forwarded unchanged, in wire format

	history retry.History
	tried   []policy.ServerID // servers of the attempts, in order, including attempts whose request was not sent
	sentAt  time.Time         // when the latest attempt was sent
	counted bool              // the outcome has been counted
	hedges  hedges

	scanner       *sse.Scanner // nil: no attempt has returned a stream
	streamBuffer  *[]byte      // the scanner's buffer, from streamBuffers
	streamStarted bool         // the head of an event stream has been sent to the client
	startedBy     *attempt     // attempt whose head was sent to the client
	lastEventID   string       // the client's Last-Event-Id; for a resumption, the id of the last event sent to the client
}

// readRequest reads and checks a request, and finds its route and tenant. It returns an errorResponse if the
// request must be rejected.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request) (*request, *errorResponse) {
	q := &request{proxy: p, w: w, r: r, arrived: time.Now(), id: r.Header.Get(headerID)}
	if len(r.TransferEncoding) > 0 && !front.UnambiguousFraming(r) {
		return nil, &errorResponse{status: http.StatusBadRequest,
			message: "Transfer-Encoding: beside Content-Length, or it can't be told", closeConnection: true}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &errorResponse{status: http.StatusBadRequest, message: "target: not a path"}
	}
	if failure := q.resolveConfirmed(); failure != nil {
		return nil, failure
	}
	if limit := q.configuration.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, message: "header: too long",
			closeConnection: true}
	}
	if !q.keyValid(time.Now()) {
		return nil, &errorResponse{status: http.StatusServiceUnavailable, message: "keys: not sure",
			retryAfter: unreadyRetryAfter}
	}
	if q.operation == 0 || q.operation == protocol.BatchSubmit {
		if !q.hasID() {
			return nil, &errorResponse{status: http.StatusBadRequest, message: headerID + ": missing or malformed"}
		}
	}
	if failure := q.setDeadline(); failure != nil {
		return nil, failure
	}
	if failure := q.body.read(w, r, q.configuration.Limits.MaxBodyBytes, p.Bodies, q.deadline); failure != nil {
		return nil, failure
	}
	return q, nil
}

// hasID reports whether the request has an X-Request-Id that is fit for a live request or a submission.
func (q *request) hasID() bool {
	return len(q.r.Header.Values(headerID)) == 1 && q.id != "" && len(q.id) <= maxRequestIDBytes
}

// setDeadline sets the request's deadline by its route. It returns 503 if the process exits before that.
func (q *request) setDeadline() *errorResponse {
	q.deadline = q.arrived.Add(q.timeLimit())
	if !q.proxy.runsUntil(q.arrived, q.deadline) {
		return &errorResponse{status: http.StatusServiceUnavailable, message: "ending",
			retryAfter: noServerRetryAfter, closeConnection: true}
	}
	return nil
}

// beginLive prepares a request for its live route after it was taken for a call for a batch job.
func (q *request) beginLive() *errorResponse {
	if failure := q.authenticate(); failure != nil {
		return failure
	}
	return q.setDeadline()
}

// headerBytes returns the size of a request's head: its target, host, and the names and values of its
// headers.
func headerBytes(r *http.Request) int {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// timeLimit returns how long after its arrival the request must have its response: the shorter of the
// client's and the route's time-out, less transitMargin.
func (q *request) timeLimit() time.Duration {
	limit := q.route.Timeout()
	if q.operation != 0 && limit == 0 {
		limit = defaultBatchTimeout
	}
	if timeout := q.clientTimeout(); limit == 0 || timeout < limit {
		limit = timeout
	}
	return max(0, limit-transitMargin)
}

// clientTimeout returns how long the client waits: its X-Deadline-Ms, or defaultClientTimeout if that is
// missing or malformed.
func (q *request) clientTimeout() time.Duration {
	wait, err := strconv.ParseUint(q.r.Header.Get(headerDeadline), 10, 31)
	if err != nil {
		return defaultClientTimeout
	}
	return time.Duration(wait) * time.Millisecond
}

// release returns the request's buffers to their budget and pool.
func (q *request) release() {
	q.body.release(q.proxy.Bodies)
	q.releaseScanner()
}

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
	// transitMargin is subtracted from a client's deadline, which counts from when the client sent the
	// request: it covers the network and the last steps of a response.
	transitMargin = 10 * time.Millisecond
	// denialWait is how long a request waits for control to confirm that its route or key doesn't exist,
	// before it is denied with 404 or 401.
	denialWait = 400 * time.Millisecond
	// firstConfigurationWait is how long a request waits for the process's first configuration.
	firstConfigurationWait = 1200 * time.Millisecond
	// defaultClientTimeout is for clients that send no X-Deadline-Ms, on routes without a time-out.
	defaultClientTimeout = time.Minute
	maxRequestIDBytes    = 256
)

// request is one request of a client, with the state of its attempts. It belongs to the goroutine that serves
// it.
type request struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time // by which the client must have its response
	id       string    // X-Request-Id, the same at each attempt
	body     body

	configuration *configuration.Snapshot // that the route and the tenant are from
	route         *configuration.Route
	tenant        *configuration.Tenant   // nil on a public route
	operation     protocol.BatchOperation // 0: a live request, none for a batch job
	leaseExpired  bool                    // the key lease wasn't valid before the configuration was read

	admission   AdmissionRequest
	admittedAt  time.Time
	headerLines []byte // the headers that are forwarded unchanged, as they go on the wire

	history retry.History
	tried   []policy.ServerID // servers, in order of the attempts
	sentAt  time.Time         // of the latest attempt
	counted bool              // its outcome

	scanner       *sse.Scanner // nil: no attempt has returned a stream
	streamBuffer  *[]byte      // the scanner's, from streamBuffers
	streamStarted bool         // the response's head has gone to the client, and events follow
	lastEventID   string       // the client's Last-Event-Id, later that of the last event that the client was sent
}

// readRequest reads and checks a request, and finds its route and tenant. A request that is not to be served
// has an errorResponse.
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
		if ids := r.Header.Values(headerID); len(ids) != 1 || q.id == "" || len(q.id) > maxRequestIDBytes {
			return nil, &errorResponse{status: http.StatusBadRequest, message: headerID + ": missing or malformed"}
		}
	}
	q.deadline = q.arrived.Add(q.timeLimit())
	if !p.runsUntil(q.arrived, q.deadline) {
		return nil, &errorResponse{status: http.StatusServiceUnavailable, message: "ending",
			retryAfter: noServerRetryAfter, closeConnection: true}
	}
	if failure := q.body.read(w, r, q.configuration.Limits.MaxBodyBytes, p.Bodies, q.deadline); failure != nil {
		return nil, failure
	}
	return q, nil
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
// client's and the route's time-out.
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

// clientTimeout returns how long the client waits, by its X-Deadline-Ms.
func (q *request) clientTimeout() time.Duration {
	wait, err := strconv.ParseUint(q.r.Header.Get(headerDeadline), 10, 31)
	if err != nil {
		return defaultClientTimeout
	}
	return time.Duration(wait) * time.Millisecond
}

// release returns the request's buffers.
func (q *request) release() {
	q.body.release(q.proxy.Bodies)
	q.releaseScanner()
}

package proxy

import (
	"cmp"
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

// Headers of the protocol.
const (
	headerID              = "X-Request-Id"
	headerDeadline        = "X-Deadline-Ms"
	headerAPIKey          = "Api-Key"
	headerTenant          = "X-Tenant"
	headerInstance        = "X-Expect-Instance"
	headerSignature       = "X-Response-Signature"
	headerNotExecuted     = "X-Not-Executed"
	headerPromptPrefix    = "X-Prompt-Prefix"
	headerTokenUsage      = "X-Token-Usage"
	headerLastEventID     = "Last-Event-Id"
	headerWait            = "X-Wait-Ms"
	headerRetryAfter      = "Retry-After"
	headerContentType     = "Content-Type"
	headerContentEncoding = "Content-Encoding"
	headerContentLength   = "Content-Length"
	contentEventStream    = "text/event-stream"
)

const (
	// transit is taken off a deadline, which counts from when the client sent: the way back, and an answer's last steps.
	transitMargin = 10 * time.Millisecond
	// denyWait is how long a request waits for control to say that its route or key is not known there either.
	denialWait = 400 * time.Millisecond
	// firstWait is how long a request waits for the first configuration of a process.
	firstConfigurationWait = 1200 * time.Millisecond
	// longestWait is how long a client waits that doesn't say, where its route doesn't either.
	defaultClientTimeout = time.Minute
	maxRequestIDBytes    = 256 // bytes
)

// request is one try of a client.
type request struct {
	proxy         *Proxy
	w             http.ResponseWriter
	r             *http.Request
	arrived       time.Time
	deadline      time.Time
	id            string
	configuration *configuration.Snapshot
	route         *configuration.Route
	tenant        *configuration.Tenant // nil: of a public route
	body          body

	operation    protocol.BatchOperation // 0: live
	leaseExpired bool                    // the lease of keys did not hold before the configuration was looked at

	admission     AdmissionRequest
	admittedAt    time.Time
	sentAt        time.Time // to the server that is asked now
	counted       bool      // what became of it
	headerLines   []byte    // lines of headers that are passed on as they came
	history       retry.History
	tried         []policy.ServerID
	scanner       *sse.Scanner // of a stream
	streamBuffer  *[]byte
	streamStarted bool // the head of a stream has gone out
	lastEventID   string
}

// read reads a request and finds its route and tenant.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request) (*request, *errorResponse) {
	q := &request{proxy: p, w: w, r: r, arrived: time.Now(), id: r.Header.Get(headerID)}
	if len(r.TransferEncoding) > 0 && !front.ChunksAlone(r) {
		return nil, &errorResponse{status: http.StatusBadRequest, message: "Transfer-Encoding: beside Content-Length, or it can't be told", closeConnection: true}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &errorResponse{status: http.StatusBadRequest, message: "target: not a path"}
	}
	if p.Control.Configuration() == nil { // the process has just begun
		p.Control.AwaitConfirmation(r.Context(), q.arrived, q.arrived.Add(min(firstConfigurationWait, q.clientTimeout())))
	}
	if failure := q.resolve(); failure != nil && failure.status == http.StatusServiceUnavailable {
		return nil, failure
	} else if failure != nil {
		if !p.Control.AwaitConfirmation(r.Context(), q.arrived, q.arrived.Add(min(denialWait, q.clientTimeout()))) {
			return nil, &errorResponse{status: http.StatusServiceUnavailable, message: "configuration: not sure", retryAfter: unreadyRetryAfter}
		}
		if failure := q.resolve(); failure != nil {
			return nil, failure
		}
	}
	if most := q.configuration.Limits.MaxHeaderBytes; most > 0 && headerBytes(r) > most {
		return nil, &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, message: "header: too long", closeConnection: true}
	}
	if !q.keyValid(time.Now()) {
		return nil, &errorResponse{status: http.StatusServiceUnavailable, message: "keys: not sure", retryAfter: unreadyRetryAfter}
	}
	if q.operation == 0 || q.operation == protocol.BatchSubmit {
		if ids := r.Header.Values(headerID); len(ids) != 1 || q.id == "" || len(q.id) > maxRequestIDBytes {
			return nil, &errorResponse{status: http.StatusBadRequest, message: headerID + ": missing or malformed"}
		}
	}
	q.deadline = q.arrived.Add(q.timeLimit())
	if !p.runsUntil(q.arrived, q.deadline) {
		return nil, &errorResponse{status: http.StatusServiceUnavailable, message: "ending", retryAfter: noServerRetryAfter, closeConnection: true}
	}
	if failure := q.body.read(w, r, q.configuration.Limits.MaxBodyBytes, p.Bodies, q.deadline); failure != nil {
		return nil, failure
	}
	return q, nil
}

// headerBytes gives the length of a request's head, without what each line takes besides its name and value.
func headerBytes(r *http.Request) int {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// find looks the route and the tenant up in the configuration in force. The lease of keys is looked at before: one that is renewed
// afterwards speaks for a newer configuration, which may have removed the key.
func (q *request) resolve() *errorResponse {
	q.leaseExpired = !q.proxy.Control.KeyLeaseValid(time.Now())
	q.configuration = q.proxy.Control.Configuration()
	if q.configuration == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, message: "no configuration yet", retryAfter: unreadyRetryAfter}
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.operation = 0
	if q.route = q.configuration.RouteFor(q.r.Host, path); q.route != nil && q.route.Type == configuration.RouteBatch {
		q.operation = cmp.Or(batchOperation(q.r.Method, path), protocol.BatchSubmit)
	}
	if q.route == nil {
		q.resolveBatch(path)
	}
	if q.route == nil {
		return &errorResponse{status: http.StatusNotFound, message: "no such route"}
	}
	return q.authenticate()
}

// identify finds the tenant by the key.
func (q *request) authenticate() *errorResponse {
	q.tenant = nil
	keys := q.r.Header.Values(headerAPIKey)
	if len(keys) == 1 {
		q.tenant = q.configuration.TenantByKey(keys[0])
	}
	if q.tenant == nil && !q.route.Public && len(q.configuration.Tenants) > 0 {
		return &errorResponse{status: http.StatusUnauthorized, message: "unknown key"}
	}
	return nil
}

// admittedFor is how long a request that nothing was sent of may act on its admission: a process that stood still must not send
// all at once what its quota allowed for long ago.
const admissionTTL = 700 * time.Millisecond

// mayGo tells, right before the first byte to a server, whether it may be written.
func (q *request) maySend(now time.Time) bool {
	return q.keyValid(now) && (q.history.MayHaveRun() || now.Sub(q.admittedAt) < admissionTTL)
}

// sure tells whether the request's key may still be acted on.
func (q *request) keyValid(now time.Time) bool {
	return q.tenant == nil || !q.leaseExpired && q.proxy.Control.KeyLeaseValid(now)
}

// patience gives how long the request may be held.
func (q *request) timeLimit() time.Duration {
	most := q.route.Timeout()
	if q.operation != 0 && most == 0 {
		most = defaultBatchTimeout
	}
	if told := q.clientTimeout(); most == 0 || told < most {
		most = told
	}
	return max(0, most-transitMargin)
}

// told gives how long the client says that it waits.
func (q *request) clientTimeout() time.Duration {
	wait, err := strconv.ParseUint(q.r.Header.Get(headerDeadline), 10, 31)
	if err != nil {
		return defaultClientTimeout
	}
	return time.Duration(wait) * time.Millisecond
}

// release gives back what the request holds.
func (q *request) release() {
	q.body.release(q.proxy.Bodies)
	q.releaseScanner()
}

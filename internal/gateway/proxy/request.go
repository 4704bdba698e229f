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
	headerID           = "X-Request-Id"
	headerDeadline     = "X-Deadline-Ms"
	headerKey          = "Api-Key"
	headerTenant       = "X-Tenant"
	headerInstance     = "X-Expect-Instance"
	headerSignature    = "X-Response-Signature"
	headerNotExecuted  = "X-Not-Executed"
	headerPrefix       = "X-Prompt-Prefix"
	headerUsage        = "X-Token-Usage"
	headerLastEvent    = "Last-Event-Id"
	headerWait         = "X-Wait-Ms"
	headerRetryAfter   = "Retry-After"
	headerContentType  = "Content-Type"
	headerEncoding     = "Content-Encoding"
	headerLength       = "Content-Length"
	contentEventStream = "text/event-stream"
)

const (
	// transit is taken off a deadline, which counts from when the client sent: the way back, and an answer's last steps.
	transit = 10 * time.Millisecond
	// denyWait is how long a request waits for control to say that its route or key is not known there either.
	denyWait = 400 * time.Millisecond
	// firstWait is how long a request waits for the first configuration of a process.
	firstWait = 1200 * time.Millisecond
	// longestWait is how long a client waits that doesn't say, where its route doesn't either.
	longestWait = time.Minute
	maxID       = 256 // bytes
)

// request is one try of a client.
type request struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	id       string
	settings *configuration.Snapshot
	route    *configuration.Route
	tenant   *configuration.Tenant // nil: of a public route
	body     body

	operation protocol.BatchOperation // 0: live
	lapsed    bool                    // the lease of keys did not hold before the configuration was looked at

	wish      Wish
	admitted  time.Time
	sentAt    time.Time // to the server that is asked now
	counted   bool      // what became of it
	head      []byte    // lines of headers that are passed on as they came
	account   retry.Account
	passed    []policy.ServerID
	scanner   *sse.Scanner // of a stream
	buffer    *[]byte
	started   bool // the head of a stream has gone out
	lastEvent string
}

// read reads a request and finds its route and tenant.
func (p *Proxy) read(w http.ResponseWriter, r *http.Request) (*request, *problem) {
	q := &request{proxy: p, w: w, r: r, arrived: time.Now(), id: r.Header.Get(headerID)}
	if len(r.TransferEncoding) > 0 && !front.ChunksAlone(r) {
		return nil, &problem{status: http.StatusBadRequest, text: "Transfer-Encoding: beside Content-Length, or it can't be told", close: true}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &problem{status: http.StatusBadRequest, text: "target: not a path"}
	}
	if p.Knowledge.Configuration() == nil { // the process has just begun
		p.Knowledge.Await(r.Context(), q.arrived, q.arrived.Add(min(firstWait, q.told())))
	}
	if no := q.find(); no != nil && no.status == http.StatusServiceUnavailable {
		return nil, no
	} else if no != nil {
		if !p.Knowledge.Await(r.Context(), q.arrived, q.arrived.Add(min(denyWait, q.told()))) {
			return nil, &problem{status: http.StatusServiceUnavailable, text: "configuration: not sure", retryAfter: unready}
		}
		if no := q.find(); no != nil {
			return nil, no
		}
	}
	if most := q.settings.Limits.MaxHeaderBytes; most > 0 && headerBytes(r) > most {
		return nil, &problem{status: http.StatusRequestHeaderFieldsTooLarge, text: "header: too long", close: true}
	}
	if !q.sure(time.Now()) {
		return nil, &problem{status: http.StatusServiceUnavailable, text: "keys: not sure", retryAfter: unready}
	}
	if q.operation == 0 || q.operation == protocol.BatchSubmit {
		if ids := r.Header.Values(headerID); len(ids) != 1 || q.id == "" || len(q.id) > maxID {
			return nil, &problem{status: http.StatusBadRequest, text: headerID + ": missing or malformed"}
		}
	}
	q.deadline = q.arrived.Add(q.patience())
	if !p.staysUntil(q.arrived, q.deadline) {
		return nil, &problem{status: http.StatusServiceUnavailable, text: "ending", retryAfter: comeBack, close: true}
	}
	if no := q.body.read(w, r, q.settings.Limits.MaxBodyBytes, p.Bodies, q.deadline); no != nil {
		return nil, no
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
func (q *request) find() *problem {
	q.lapsed = !q.proxy.Knowledge.Holds(time.Now())
	q.settings = q.proxy.Knowledge.Configuration()
	if q.settings == nil {
		return &problem{status: http.StatusServiceUnavailable, text: "no configuration yet", retryAfter: unready}
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.operation = 0
	if q.route = q.settings.RouteFor(q.r.Host, path); q.route != nil && q.route.Type == configuration.RouteBatch {
		q.operation = cmp.Or(batchOperation(q.r.Method, path), protocol.BatchSubmit)
	}
	if q.route == nil {
		q.findBatch(path)
	}
	if q.route == nil {
		return &problem{status: http.StatusNotFound, text: "no such route"}
	}
	return q.identify()
}

// identify finds the tenant by the key.
func (q *request) identify() *problem {
	q.tenant = nil
	keys := q.r.Header.Values(headerKey)
	if len(keys) == 1 {
		q.tenant = q.settings.TenantFor(keys[0])
	}
	if q.tenant == nil && !q.route.Public && len(q.settings.Tenants) > 0 {
		return &problem{status: http.StatusUnauthorized, text: "unknown key"}
	}
	return nil
}

// admittedFor is how long a request that nothing was sent of may act on its admission: a process that stood still must not send
// all at once what its quota allowed for long ago.
const admittedFor = 700 * time.Millisecond

// mayGo tells, right before the first byte to a server, whether it may be written.
func (q *request) mayGo(now time.Time) bool {
	return q.sure(now) && (q.account.MayHaveRun() || now.Sub(q.admitted) < admittedFor)
}

// sure tells whether the request's key may still be acted on.
func (q *request) sure(now time.Time) bool {
	return q.tenant == nil || !q.lapsed && q.proxy.Knowledge.Holds(now)
}

// patience gives how long the request may be held.
func (q *request) patience() time.Duration {
	most := q.route.Timeout()
	if q.operation != 0 && most == 0 {
		most = batchPatience
	}
	if told := q.told(); most == 0 || told < most {
		most = told
	}
	return max(0, most-transit)
}

// told gives how long the client says that it waits.
func (q *request) told() time.Duration {
	wait, err := strconv.ParseUint(q.r.Header.Get(headerDeadline), 10, 31)
	if err != nil {
		return longestWait
	}
	return time.Duration(wait) * time.Millisecond
}

// release gives back what the request holds.
func (q *request) release() {
	q.body.release(q.proxy.Bodies)
	q.releaseScanner()
}

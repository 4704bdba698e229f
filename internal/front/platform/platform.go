// Package platform is the thin front for the platform's protocol: it reads a client's request into a
// transaction, and writes the transaction's final answer. It must never choose an answer; what is malformed gets
// a 4xx and reaches neither the module nor a pool member.
package platform

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// The platform's headers.
const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "X-Class"
	headerTariff         = "X-Tariff"
	headerCustomer       = "X-Subscriber"
	headerDeadline       = "X-Deadline-Ms"
	headerWeight         = "X-Weight"
	headerRetry          = "X-Retry"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	maxCustomerID           = 1 << 33
	maxRequestIDLength      = 128
	maxIdempotencyKeyLength = 255
	// transit is taken off a deadline, which runs from when the client sent: the way here and back.
	transitTime = 6 * time.Millisecond
)

// Front is the platform's front.
type Front struct {
	Core         *core.Core
	Settings     *Settings
	Ready        func() bool
	OpenRequests *OpenRequests
	Bodies       *buffers.Budget // what bodies may hold in memory; nil: as much as they like
	malformed    atomic.Uint64
}

// Settings holds those in force, which are exchanged as a whole.
type Settings struct {
	current atomic.Pointer[config.Deployment]
}

// NewSettings gives a holder.
func NewSettings(d config.Deployment) *Settings {
	s := &Settings{}
	s.Set(d)
	return s
}

// Set puts others in force: what is read from now on is read under them.
func (s *Settings) Set(d config.Deployment) { s.current.Store(&d) }

// Get gives those in force, which nobody changes.
func (s *Settings) Get() *config.Deployment { return s.current.Load() }

// Open holds the ids of the requests that are open, whichever front they came through. A request under the id of
// another that is open would reach a pool member as a second copy of that one.
type OpenRequests struct{ ids sync.Map }

// Leave forgets the id of a request that Read has let in.
func (o *OpenRequests) Remove(r *http.Request) { o.ids.Delete(r.Header.Get(headerRequestID)) }

// Malformed counts the requests that were none.
func (f *Front) Malformed() uint64 { return f.malformed.Load() }

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.Core.Now()
	if r.URL.Path == "/ready" {
		WriteReady(w, f.Ready())
		return
	}
	request, body, problem := ReadRequest(w, r, f.Settings.Get(), f.OpenRequests, f.Bodies, arrived)
	if problem != nil {
		f.malformed.Add(1)
		problem.Write(w)
		return
	}
	defer f.OpenRequests.Remove(r)
	if problem := Respond(w, r, body, f.Core.Serve(r.Context(), request)); problem {
		f.malformed.Add(1)
	}
}

// Answer gives a client the final answer to a request with a body, and tells whether it was none: whatever the module
// made of it, a body that didn't come whole is the client's fault.
func Respond(w http.ResponseWriter, r *http.Request, body *Body, a core.Answer) (malformed bool) {
	if problem := body.Fault(); problem != nil && a.Kind != core.Served {
		body.Close()
		a.Discard()
		problem.Write(w)
		return true
	}
	defer body.Close()
	body.PrepareEarlyAnswer(w)
	WriteAnswer(w, r, a)
	return false
}

// Ready answers the question whether the gateway can serve.
func WriteReady(w http.ResponseWriter, ready bool) {
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Bad says what is wrong with a request.
type RequestError struct {
	Code       int
	Text       string
	RetryAfter time.Duration // where asking again is harmless
}

// Write answers with it and ends the connection: where such a request ends can't be relied on, and what follows it
// could be another hidden in its body.
func (b *RequestError) Write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if b.RetryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(b.RetryAfter))
	}
	http.Error(w, b.Text, b.Code)
}

func badRequest(text string) *RequestError {
	return &RequestError{Code: http.StatusBadRequest, Text: text}
}

// Read checks a request and gives its transaction, whose id is open until Leave, and its body, which is to be closed once
// the transaction has its answer.
func ReadRequest(w http.ResponseWriter, r *http.Request, d *config.Deployment, openRequests *OpenRequests, budget *buffers.Budget,
	arrived core.Time) (request core.Request, body *Body, problem *RequestError) {
	h := r.Header
	id := h.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDLength || strings.ContainsAny(id, " \t") {
		return request, nil, badRequest(headerRequestID + ": missing or malformed")
	}
	if len(r.TransferEncoding) > 0 && !front.UnambiguousFraming(r) {
		return request, nil, badRequest("Transfer-Encoding: beside Content-Length, or it can't be told")
	}
	path, ok := strings.CutPrefix(r.RequestURI, "/")
	if !ok {
		return request, nil, badRequest("target: not a path")
	}
	className, _, _ := strings.Cut(path, "?")
	className, _, _ = strings.Cut(className, "/")
	if className, _ = url.PathUnescape(className); className != h.Get(headerClass) {
		return request, nil, badRequest(headerClass + ": not the class of the path")
	}
	if request.Class = d.ClassNumber(className); request.Class < 0 {
		return request, nil, &RequestError{Code: http.StatusNotFound, Text: headerClass + ": unknown class"}
	}
	request.Generation = d.Era
	class := d.Classes[request.Class]
	if want := methodFor(class.Idempotency); r.Method != want {
		w.Header().Set("Allow", want)
		return request, nil, &RequestError{Code: http.StatusMethodNotAllowed, Text: "method: this class takes " + want}
	}
	if request.Plan = d.PlanNumber(h.Get(headerTariff)); request.Plan < 0 {
		return request, nil, badRequest(headerTariff + ": unknown plan")
	}
	customer, err := strconv.ParseUint(h.Get(headerCustomer), 16, 64)
	if err != nil || customer >= maxCustomerID {
		return request, nil, badRequest(headerCustomer + ": not a customer")
	}
	request.Customer = policy.CustomerID(customer)
	wait, err := strconv.ParseUint(h.Get(headerDeadline), 10, 31)
	if err != nil || wait == 0 {
		return request, nil, badRequest(headerDeadline + ": not whole milliseconds above 0")
	}
	request.Deadline = arrived + min(time.Duration(wait)*time.Millisecond, class.Deadline) - transitTime
	if !parseWeight(h.Get(headerWeight), &request, d) {
		return request, nil, badRequest(headerWeight + ": malformed")
	}
	keys := h.Values(headerIdempotencyKey)
	if len(keys) > 1 || class.Idempotency == policy.IdempotentByKey && len(keys) == 0 ||
		len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxIdempotencyKeyLength) {
		return request, nil, badRequest(headerIdempotencyKey + ": not the one that a keyed class needs")
	}
	request.ClientRetry = h.Get(headerRetry) == "1"
	if body, problem = ReadBody(w, r, budget, time.Now().Add(time.Duration(wait)*time.Millisecond)); problem != nil {
		return request, nil, problem
	}
	if r.Method == http.MethodGet && !body.Empty() {
		body.Release()
		return request, nil, badRequest("body: this class has none")
	}
	if _, taken := openRequests.ids.LoadOrStore(id, true); taken {
		body.Release()
		return request, nil, &RequestError{Code: http.StatusConflict, Text: headerRequestID + ": that of an open request"}
	}
	header := appendHeader(make([]byte, 0, 64+len(id)), headerRequestID, id)
	for _, key := range keys {
		header = appendHeader(header, headerIdempotencyKey, key)
	}
	if t := h.Get("Content-Type"); t != "" {
		header = appendHeader(header, "Content-Type", t)
	}
	message := &pool.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: body.Buffered}
	if request.Message = message; body.Pending() {
		message.Remainder, message.ContentLength = body, r.ContentLength
		request.BodyPending, request.BodyTimeout = true, min(time.Duration(wait)*time.Millisecond, class.Deadline)-transitTime
	}
	return request, body, nil
}

// line adds a header's line.
func appendHeader(header []byte, name, value string) []byte {
	return append(append(append(append(header, name...), ": "...), value...), "\r\n"...)
}

func methodFor(e policy.Idempotency) string {
	if e == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// weight reads what a request draws and which gateways serve its customer, this one among them. What is out of range
// would spoil the account of the customer it names.
func parseWeight(text string, request *core.Request, d *config.Deployment) bool {
	spread, first := 0.0, -1.0
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1<<20) {
			return false
		}
		switch key {
		case "units":
			request.Units = x
		case "spread":
			spread = x
		case "first":
			first = x
		}
	}
	request.SetSize, request.FirstGateway = int(spread), int(first)
	return request.Units > 0 && (d.MaxUnits <= 0 || request.Units <= d.MaxUnits) &&
		float64(request.SetSize) == spread && request.SetSize >= 1 && request.SetSize <= d.Gateways &&
		float64(request.FirstGateway) == first && request.FirstGateway >= 0 && request.FirstGateway < d.Gateways &&
		(d.Self-request.FirstGateway+d.Gateways)%d.Gateways < request.SetSize
}

func writeStatus(w http.ResponseWriter, code int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
}

// seconds writes a wait as the protocol allows it, in decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

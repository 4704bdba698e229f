package platform

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// Headers of the platform's protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "X-Class"
	headerTariff         = "X-Tariff"     // the plan
	headerCustomer       = "X-Subscriber" // hexadecimal
	headerDeadline       = "X-Deadline-Ms"
	headerWeight         = "X-Weight" // see parseWeight
	headerRetry          = "X-Retry"  // "1": the client's own retry
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	maxCustomerID           = 1 << 33
	maxRequestIDLength      = 128 // bytes
	maxIdempotencyKeyLength = 255 // bytes
	// transitTime is subtracted from a request's deadline, because the client counts it from the time of sending: it
	// allows for the transit of the request and of the answer.
	transitTime = 6 * time.Millisecond
)

// RequestError is the error that a client receives for a request that is not accepted.
type RequestError struct {
	Code       int
	Text       string
	RetryAfter time.Duration // time after which the client may send the request again; 0: no Retry-After is sent
}

// Write writes the error and makes it the last answer of the connection: the end of a malformed request is uncertain,
// and the bytes that follow it could be another request that is hidden in its body (request smuggling).
func (b *RequestError) Write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if b.RetryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(b.RetryAfter))
	}
	http.Error(w, b.Text, b.Code)
}

// badRequest returns the error of a malformed request.
func badRequest(text string) *RequestError {
	return &RequestError{Code: http.StatusBadRequest, Text: text}
}

// RequestReader checks clients' requests and converts them to core.Request.
type RequestReader struct {
	Deployment   *config.Deployment
	OpenRequests *OpenRequests
	Bodies       *buffers.Budget // memory budget of request bodies; nil: unlimited
}

// Read checks a request that arrived at the given time and reads its body or the beginning of it. It returns the
// core's request, whose id stays in OpenRequests until the caller removes it, and the body, which the caller must close
// once there is an answer.
func (q RequestReader) Read(w http.ResponseWriter, r *http.Request,
	arrived core.Time) (request core.Request, body *Body, problem *RequestError) {
	d := q.Deployment
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
	if request.Class = d.ClassIndex(className); request.Class < 0 {
		return request, nil, &RequestError{Code: http.StatusNotFound, Text: headerClass + ": unknown class"}
	}
	request.Generation = d.Generation
	class := d.Classes[request.Class]
	if want := methodFor(class.Idempotency); r.Method != want {
		w.Header().Set("Allow", want)
		return request, nil, &RequestError{Code: http.StatusMethodNotAllowed, Text: "method: this class takes " + want}
	}
	if request.Plan = d.PlanIndex(h.Get(headerTariff)); request.Plan < 0 {
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
	if body, problem = ReadBody(w, r, q.Bodies, time.Now().Add(time.Duration(wait)*time.Millisecond)); problem != nil {
		return request, nil, problem
	}
	if r.Method == http.MethodGet && !body.Empty() {
		body.Release()
		return request, nil, badRequest("body: this class has none")
	}
	if _, taken := q.OpenRequests.ids.LoadOrStore(id, true); taken {
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

// appendHeader appends the line of a header field and returns the extended buffer.
func appendHeader(header []byte, name, value string) []byte {
	return append(append(append(append(header, name...), ": "...), value...), "\r\n"...)
}

// methodFor returns the HTTP method of requests of a class with the given idempotency.
func methodFor(e policy.Idempotency) string {
	if e == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// parseWeight parses units=U,spread=S,first=F: the cost of the request in units, the number of gateways that serve
// its customer, and the index of the first of these gateways. It reports whether all values are in range and this
// gateway is one of those that serve the customer; if not, the customer's quota would be charged wrongly.
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

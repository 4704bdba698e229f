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
	hID       = "X-Request-Id"
	hClass    = "X-Class"
	hTariff   = "X-Tariff"
	hCustomer = "X-Subscriber"
	hDeadline = "X-Deadline-Ms"
	hWeight   = "X-Weight"
	hRetry    = "X-Retry"
	hKey      = "Idempotency-Key"
)

const (
	maxCustomer = 1 << 33
	maxID       = 128
	maxKey      = 255
	// transit is taken off a deadline, which runs from when the client sent: the way here and back.
	transit = 6 * time.Millisecond
)

// Front is the platform's front.
type Front struct {
	Core      *core.Core
	Settings  *Settings
	Ready     func() bool
	Open      *Open
	Bodies    *buffers.Budget // what bodies may hold in memory; nil: as much as they like
	malformed atomic.Uint64
}

// Settings holds those in force, which are exchanged as a whole.
type Settings struct {
	now atomic.Pointer[config.Deployment]
}

// NewSettings gives a holder.
func NewSettings(d config.Deployment) *Settings {
	s := &Settings{}
	s.Set(d)
	return s
}

// Set puts others in force: what is read from now on is read under them.
func (s *Settings) Set(d config.Deployment) { s.now.Store(&d) }

// Get gives those in force, which nobody changes.
func (s *Settings) Get() *config.Deployment { return s.now.Load() }

// Open holds the ids of the requests that are open, whichever front they came through. A request under the id of
// another that is open would reach a pool member as a second copy of that one.
type Open struct{ ids sync.Map }

// Leave forgets the id of a request that Read has let in.
func (o *Open) Leave(r *http.Request) { o.ids.Delete(r.Header.Get(hID)) }

// Malformed counts the requests that were none.
func (f *Front) Malformed() uint64 { return f.malformed.Load() }

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.Core.Now()
	if r.URL.Path == "/ready" {
		Ready(w, f.Ready())
		return
	}
	in, body, bad := Read(w, r, f.Settings.Get(), f.Open, f.Bodies, arrived)
	if bad != nil {
		f.malformed.Add(1)
		bad.Write(w)
		return
	}
	defer f.Open.Leave(r)
	if bad := Answer(w, r, body, f.Core.Serve(r.Context(), in)); bad {
		f.malformed.Add(1)
	}
}

// Answer gives a client the final answer to a request with a body, and tells whether it was none: whatever the module
// made of it, a body that didn't come whole is the client's fault.
func Answer(w http.ResponseWriter, r *http.Request, body *Body, a core.Answer) (malformed bool) {
	if bad := body.Fault(); bad != nil && a.Kind != core.Served {
		body.Close()
		a.Discard()
		bad.Write(w)
		return true
	}
	defer body.Close()
	body.Early(w)
	Write(w, r, a)
	return false
}

// Ready answers the question whether the gateway can serve.
func Ready(w http.ResponseWriter, ready bool) {
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Bad says what is wrong with a request.
type Bad struct {
	Code       int
	Text       string
	RetryAfter time.Duration // where asking again is harmless
}

// Write answers with it and ends the connection: where such a request ends can't be relied on, and what follows it
// could be another hidden in its body.
func (b *Bad) Write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if b.RetryAfter > 0 {
		w.Header().Set("Retry-After", seconds(b.RetryAfter))
	}
	http.Error(w, b.Text, b.Code)
}

func bad(text string) *Bad { return &Bad{Code: http.StatusBadRequest, Text: text} }

// Read checks a request and gives its transaction, whose id is open until Leave, and its body, which is to be closed once
// the transaction has its answer.
func Read(w http.ResponseWriter, r *http.Request, d *config.Deployment, open *Open, budget *buffers.Budget,
	arrived core.Time) (in core.Request, body *Body, no *Bad) {
	h := r.Header
	id := h.Get(hID)
	if id == "" || len(id) > maxID || strings.ContainsAny(id, " \t") {
		return in, nil, bad(hID + ": missing or malformed")
	}
	if len(r.TransferEncoding) > 0 && !front.UnambiguousFraming(r) {
		return in, nil, bad("Transfer-Encoding: beside Content-Length, or it can't be told")
	}
	path, ok := strings.CutPrefix(r.RequestURI, "/")
	if !ok {
		return in, nil, bad("target: not a path")
	}
	name, _, _ := strings.Cut(path, "?")
	name, _, _ = strings.Cut(name, "/")
	if name, _ = url.PathUnescape(name); name != h.Get(hClass) {
		return in, nil, bad(hClass + ": not the class of the path")
	}
	if in.Class = d.ClassNumber(name); in.Class < 0 {
		return in, nil, &Bad{Code: http.StatusNotFound, Text: hClass + ": unknown class"}
	}
	in.Generation = d.Era
	class := d.Classes[in.Class]
	if want := method(class.Idempotency); r.Method != want {
		w.Header().Set("Allow", want)
		return in, nil, &Bad{Code: http.StatusMethodNotAllowed, Text: "method: this class takes " + want}
	}
	if in.Plan = d.PlanNumber(h.Get(hTariff)); in.Plan < 0 {
		return in, nil, bad(hTariff + ": unknown plan")
	}
	customer, err := strconv.ParseUint(h.Get(hCustomer), 16, 64)
	if err != nil || customer >= maxCustomer {
		return in, nil, bad(hCustomer + ": not a customer")
	}
	in.Customer = policy.CustomerID(customer)
	wait, err := strconv.ParseUint(h.Get(hDeadline), 10, 31)
	if err != nil || wait == 0 {
		return in, nil, bad(hDeadline + ": not whole milliseconds above 0")
	}
	in.Deadline = arrived + min(time.Duration(wait)*time.Millisecond, class.Deadline) - transit
	if !weight(h.Get(hWeight), &in, d) {
		return in, nil, bad(hWeight + ": malformed")
	}
	keys := h.Values(hKey)
	if len(keys) > 1 || class.Idempotency == policy.IdempotentByKey && len(keys) == 0 ||
		len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKey) {
		return in, nil, bad(hKey + ": not the one that a keyed class needs")
	}
	in.ClientRetry = h.Get(hRetry) == "1"
	if body, no = ReadBody(w, r, budget, time.Now().Add(time.Duration(wait)*time.Millisecond)); no != nil {
		return in, nil, no
	}
	if r.Method == http.MethodGet && !body.Empty() {
		body.Leave()
		return in, nil, bad("body: this class has none")
	}
	if _, taken := open.ids.LoadOrStore(id, true); taken {
		body.Leave()
		return in, nil, &Bad{Code: http.StatusConflict, Text: hID + ": that of an open request"}
	}
	header := line(make([]byte, 0, 64+len(id)), hID, id)
	for _, key := range keys {
		header = line(header, hKey, key)
	}
	if t := h.Get("Content-Type"); t != "" {
		header = line(header, "Content-Type", t)
	}
	m := &pool.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: body.Kept}
	if in.Message = m; body.More() {
		m.Remainder, m.ContentLength = body, r.ContentLength
		in.BodyPending, in.BodyTimeout = true, min(time.Duration(wait)*time.Millisecond, class.Deadline)-transit
	}
	return in, body, nil
}

// line adds a header's line.
func line(header []byte, name, value string) []byte {
	return append(append(append(append(header, name...), ": "...), value...), "\r\n"...)
}

func method(e policy.Idempotency) string {
	if e == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// weight reads what a request draws and which gateways serve its customer, this one among them. What is out of range
// would spoil the account of the customer it names.
func weight(text string, in *core.Request, d *config.Deployment) bool {
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
			in.Units = x
		case "spread":
			spread = x
		case "first":
			first = x
		}
	}
	in.SetSize, in.FirstGateway = int(spread), int(first)
	return in.Units > 0 && (d.MaxUnits <= 0 || in.Units <= d.MaxUnits) &&
		float64(in.SetSize) == spread && in.SetSize >= 1 && in.SetSize <= d.Gateways &&
		float64(in.FirstGateway) == first && in.FirstGateway >= 0 && in.FirstGateway < d.Gateways &&
		(d.Self-in.FirstGateway+d.Gateways)%d.Gateways < in.SetSize
}

func end(w http.ResponseWriter, code int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
}

// seconds writes a wait as the protocol allows it, in decimals.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

// Package faultyserver is a world in memory and virtual time for tests of the real gateway proxy on the real pool: many clients, and
// servers that break off, answer early, late, twice or for others, fall silent and close as requests cross, all by a seed. An
// audit that both sides report to holds that each answer belongs to its request. It must never be linked into the program.
package faultyserver

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Try is a request as a client sent it.
type Request struct {
	ID, Route, Path string
	Header          http.Header // that reaches the server unchanged
	Body            []byte
	AfterEvent      int // Last-Event-Id; 0: none
	Events          int // of its whole stream
}

func (t *Request) streaming() bool {
	return t.Route == routeStream || t.Route == routeResume || t.Route == RouteItem
}

func (t *Request) idempotent() bool { return t.Route == routeSafe || t.Route == routeResume }

// Run is work that a server has begun on a try.
type Execution struct {
	Request    *Request
	Signature  string
	AfterEvent int // Last-Event-Id that it was asked with
	// Attempt is the value of X-Attempt that it was asked with.
	Attempt   string
	Status    int // 0: it gave no answer
	Body      []byte
	Truncated bool // its answer has no length, and was reset
}

// event gives an event of a run's stream.
func (r *Execution) eventText(id int) string {
	versions := ""
	if (len(r.Request.ID)+id)%4 == 0 {
		versions = fmt.Sprintf("versions: %d\n", id)
	}
	return fmt.Sprintf("%sid: %d\ndata: %s\n\n", versions, id, r.eventData(id))
}

// data gives an event's data.
func (r *Execution) eventData(id int) string {
	return fmt.Sprintf("%s %d by %s", r.Request.ID, id, r.Signature)
}

// Audit holds what clients sent, servers ran, and clients heard.
type Checker struct {
	mu          sync.Mutex
	requests    map[string]*Request
	executions  map[string][]*Execution
	bySignature map[string]*Execution
	statuses    map[string]int // status, by id
	violations  []string
	counts      map[string]int
}

func newChecker() *Checker {
	return &Checker{requests: map[string]*Request{}, executions: map[string][]*Execution{}, bySignature: map[string]*Execution{}, statuses: map[string]int{},
		counts: map[string]int{}}
}

func (a *Checker) failf(format string, parts ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failLocked(format, parts...)
}

// fail notes a broken rule. The mutex is held.
func (a *Checker) failLocked(format string, parts ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, parts...))
}

func (a *Checker) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[what]++
}

func (a *Checker) recordRequest(try *Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[try.ID] = try
	a.counts["tries"]++
}

// arrived checks a request's head at a server, and gives its try; nil: it is nobody's.
func (a *Checker) checkArrival(r *http.Request) *Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	try := a.requests[r.Header.Get("X-Request-Id")]
	if try == nil {
		a.failLocked("a request that no client sent: %s %s", r.RequestURI, r.Header)
		return nil
	}
	if r.Host != Host || r.Method != http.MethodPost || r.RequestURI != try.Path || r.ContentLength != int64(len(try.Body)) {
		a.failLocked("%s: other request line or length: %s %s %d", try.ID, r.Method, r.RequestURI, r.ContentLength)
	}
	for name, values := range try.Header {
		if !slices.Equal(r.Header[name], values) {
			a.failLocked("%s: header %s is %q", try.ID, name, r.Header[name])
		}
	}
	if r.Header.Get("X-Tenant") != Tenant || r.Header.Get("Api-Key") != "" || len(r.Header["X-Expect-Instance"]) != 1 {
		a.failLocked("%s: with a tenant, a key or instances of others: %v", try.ID, r.Header)
	}
	return try
}

// bodyPart checks bytes of a body that stand at some offset.
func (a *Checker) checkBodyPart(try *Request, offset int, part []byte) {
	if offset > len(try.Body) || !bytes.HasPrefix(try.Body[offset:], part) {
		a.failf("%s: at %d of its body stand other bytes: %.80q", try.ID, offset, part)
	}
}

// run notes that a server begins work.
func (a *Checker) recordExecution(try *Request, asked http.Header, status int) *Execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	after, _ := strconv.Atoi(asked.Get("Last-Event-Id"))
	r := &Execution{Request: try, Signature: fmt.Sprintf("%s.%d", try.ID, len(a.executions[try.ID])+1), AfterEvent: after, Status: status,
		Attempt: asked.Get("X-Attempt")}
	a.executions[try.ID] = append(a.executions[try.ID], r)
	a.bySignature[r.Signature] = r
	a.counts["runs"]++
	return r
}

// answer is what a client has heard.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error // it isn't whole
}

// answered checks what a client has heard.
func (a *Checker) checkResponse(try *Request, heard response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[try.ID] = heard.status
	stamp := heard.header.Get("X-Response-Signature")
	run := a.bySignature[stamp]
	success := heard.status >= 200 && heard.status < 300
	switch {
	case stamp != "" && (run == nil || run.Request != try):
		a.failLocked("%s: answered with %d under the stamp %q of another", try.ID, heard.status, stamp)
	case run != nil && run.Status != heard.status:
		a.failLocked("%s: answered with %d, where the server said %d", try.ID, heard.status, run.Status)
	case success && run == nil:
		a.failLocked("%s: a success without a stamp", try.ID)
	case run != nil && heard.header.Get("X-Request-Id") != try.ID:
		a.failLocked("%s: answered under the id %q", try.ID, heard.header.Get("X-Request-Id"))
	case run != nil && heard.header.Get("Versions") != versions:
		a.failLocked("%s: answered with the versions %q", try.ID, heard.header["Versions"])
	case success && heard.header.Get("Content-Encoding") != "":
		a.failLocked("%s: a success in an encoding", try.ID)
	case success && try.streaming():
		a.checkStreamLocked(try, run, heard)
	case success && heard.err == nil && (run.Truncated || !bytes.Equal(run.Body, heard.body)):
		a.failLocked("%s: a success that isn't whole: %.80q, where %.80q was said (cut: %v)", try.ID, heard.body, run.Body, run.Truncated)
	}
	if success && heard.err == nil {
		a.counts["successes"]++
	}
}

// streamed checks a stream: events in order, each by a run that was asked to go on where it did. The mutex is held.
func (a *Checker) checkStreamLocked(try *Request, first *Execution, heard response) {
	text := string(heard.body)
	last, by := try.AfterEvent, first
	for text != "" {
		event, rest, whole := strings.Cut(text, "\n\n")
		if !whole {
			a.failLocked("%s: a part of an event: %q", try.ID, text)
			return
		}
		event += "\n\n"
		_, stamp, _ := strings.Cut(strings.TrimSuffix(event, "\n\n"), " by ")
		run := a.bySignature[stamp]
		if run == nil || run.Request != try {
			a.failLocked("%s: an event of another: %q", try.ID, event)
			return
		}
		if run != by && run.AfterEvent != last || last == try.AfterEvent && run != first {
			a.failLocked("%s: after event %d comes a run that was asked to go on after %d", try.ID, last, run.AfterEvent)
		}
		if last++; event != run.eventText(last) {
			a.failLocked("%s: in place of event %d stands %q", try.ID, last, event)
			return
		}
		text, by = rest, run
	}
	if heard.err == nil && last != try.Events {
		a.failLocked("%s: looks complete after event %d of %d", try.ID, last, try.Events)
	}
	if by != first {
		a.counts["resumed streams"]++
	}
}

// Finish checks what holds once all is over, and gives what was broken.
func (a *Checker) Finish() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, runs := range a.executions {
		most := 1
		if a.requests[id].idempotent() {
			most = maxAttempts
		}
		if len(runs) > most && a.requests[id].Route != RouteItem {
			a.failLocked("%s on %s: has run %d times", id, a.requests[id].Route, len(runs))
		}
		switch status := a.statuses[id]; status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			a.failLocked("%s on %s: answered with %d, and has run", id, a.requests[id].Route, status)
		}
	}
	return a.violations
}

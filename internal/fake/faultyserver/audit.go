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
type Try struct {
	ID, Route, Path string
	Header          http.Header // that reaches the server unchanged
	Body            []byte
	After           int // Last-Event-Id; 0: none
	Events          int // of its whole stream
}

func (t *Try) stream() bool {
	return t.Route == routeStream || t.Route == routeResume || t.Route == RouteItem
}

func (t *Try) repeatable() bool { return t.Route == routeSafe || t.Route == routeResume }

// Run is work that a server has begun on a try.
type Run struct {
	Try   *Try
	Stamp string
	After int // Last-Event-Id that it was asked with
	// Attempt is the value of X-Attempt that it was asked with.
	Attempt string
	Status  int // 0: it gave no answer
	Text    []byte
	Cut     bool // its answer has no length, and was reset
}

// event gives an event of a run's stream.
func (r *Run) event(id int) string {
	versions := ""
	if (len(r.Try.ID)+id)%4 == 0 {
		versions = fmt.Sprintf("versions: %d\n", id)
	}
	return fmt.Sprintf("%sid: %d\ndata: %s\n\n", versions, id, r.data(id))
}

// data gives an event's data.
func (r *Run) data(id int) string { return fmt.Sprintf("%s %d by %s", r.Try.ID, id, r.Stamp) }

// Audit holds what clients sent, servers ran, and clients heard.
type Audit struct {
	mu       sync.Mutex
	tries    map[string]*Try
	runs     map[string][]*Run
	stamps   map[string]*Run
	heard    map[string]int // status, by id
	failures []string
	counts   map[string]int
}

func newAudit() *Audit {
	return &Audit{tries: map[string]*Try{}, runs: map[string][]*Run{}, stamps: map[string]*Run{}, heard: map[string]int{},
		counts: map[string]int{}}
}

func (a *Audit) failf(format string, parts ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fail(format, parts...)
}

// fail notes a broken rule. The mutex is held.
func (a *Audit) fail(format string, parts ...any) {
	a.failures = append(a.failures, fmt.Sprintf(format, parts...))
}

func (a *Audit) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[what]++
}

func (a *Audit) sent(try *Try) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tries[try.ID] = try
	a.counts["tries"]++
}

// arrived checks a request's head at a server, and gives its try; nil: it is nobody's.
func (a *Audit) arrived(r *http.Request) *Try {
	a.mu.Lock()
	defer a.mu.Unlock()
	try := a.tries[r.Header.Get("X-Request-Id")]
	if try == nil {
		a.fail("a request that no client sent: %s %s", r.RequestURI, r.Header)
		return nil
	}
	if r.Host != Host || r.Method != http.MethodPost || r.RequestURI != try.Path || r.ContentLength != int64(len(try.Body)) {
		a.fail("%s: other request line or length: %s %s %d", try.ID, r.Method, r.RequestURI, r.ContentLength)
	}
	for name, values := range try.Header {
		if !slices.Equal(r.Header[name], values) {
			a.fail("%s: header %s is %q", try.ID, name, r.Header[name])
		}
	}
	if r.Header.Get("X-Tenant") != Tenant || r.Header.Get("Api-Key") != "" || len(r.Header["X-Expect-Instance"]) != 1 {
		a.fail("%s: with a tenant, a key or instances of others: %v", try.ID, r.Header)
	}
	return try
}

// bodyPart checks bytes of a body that stand at some offset.
func (a *Audit) bodyPart(try *Try, offset int, part []byte) {
	if offset > len(try.Body) || !bytes.HasPrefix(try.Body[offset:], part) {
		a.failf("%s: at %d of its body stand other bytes: %.80q", try.ID, offset, part)
	}
}

// run notes that a server begins work.
func (a *Audit) run(try *Try, asked http.Header, status int) *Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	after, _ := strconv.Atoi(asked.Get("Last-Event-Id"))
	r := &Run{Try: try, Stamp: fmt.Sprintf("%s.%d", try.ID, len(a.runs[try.ID])+1), After: after, Status: status,
		Attempt: asked.Get("X-Attempt")}
	a.runs[try.ID] = append(a.runs[try.ID], r)
	a.stamps[r.Stamp] = r
	a.counts["runs"]++
	return r
}

// answer is what a client has heard.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // it isn't whole
}

// answered checks what a client has heard.
func (a *Audit) answered(try *Try, heard answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard[try.ID] = heard.status
	stamp := heard.header.Get("X-Response-Signature")
	run := a.stamps[stamp]
	success := heard.status >= 200 && heard.status < 300
	switch {
	case stamp != "" && (run == nil || run.Try != try):
		a.fail("%s: answered with %d under the stamp %q of another", try.ID, heard.status, stamp)
	case run != nil && run.Status != heard.status:
		a.fail("%s: answered with %d, where the server said %d", try.ID, heard.status, run.Status)
	case success && run == nil:
		a.fail("%s: a success without a stamp", try.ID)
	case run != nil && heard.header.Get("X-Request-Id") != try.ID:
		a.fail("%s: answered under the id %q", try.ID, heard.header.Get("X-Request-Id"))
	case run != nil && heard.header.Get("Versions") != versions:
		a.fail("%s: answered with the versions %q", try.ID, heard.header["Versions"])
	case success && heard.header.Get("Content-Encoding") != "":
		a.fail("%s: a success in an encoding", try.ID)
	case success && try.stream():
		a.streamed(try, run, heard)
	case success && heard.err == nil && (run.Cut || !bytes.Equal(run.Text, heard.body)):
		a.fail("%s: a success that isn't whole: %.80q, where %.80q was said (cut: %v)", try.ID, heard.body, run.Text, run.Cut)
	}
	if success && heard.err == nil {
		a.counts["successes"]++
	}
}

// streamed checks a stream: events in order, each by a run that was asked to go on where it did. The mutex is held.
func (a *Audit) streamed(try *Try, first *Run, heard answer) {
	text := string(heard.body)
	last, by := try.After, first
	for text != "" {
		event, rest, whole := strings.Cut(text, "\n\n")
		if !whole {
			a.fail("%s: a part of an event: %q", try.ID, text)
			return
		}
		event += "\n\n"
		_, stamp, _ := strings.Cut(strings.TrimSuffix(event, "\n\n"), " by ")
		run := a.stamps[stamp]
		if run == nil || run.Try != try {
			a.fail("%s: an event of another: %q", try.ID, event)
			return
		}
		if run != by && run.After != last || last == try.After && run != first {
			a.fail("%s: after event %d comes a run that was asked to go on after %d", try.ID, last, run.After)
		}
		if last++; event != run.event(last) {
			a.fail("%s: in place of event %d stands %q", try.ID, last, event)
			return
		}
		text, by = rest, run
	}
	if heard.err == nil && last != try.Events {
		a.fail("%s: looks complete after event %d of %d", try.ID, last, try.Events)
	}
	if by != first {
		a.counts["resumed streams"]++
	}
}

// Finish checks what holds once all is over, and gives what was broken.
func (a *Audit) Finish() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, runs := range a.runs {
		most := 1
		if a.tries[id].repeatable() {
			most = maxAttempts
		}
		if len(runs) > most && a.tries[id].Route != RouteItem {
			a.fail("%s on %s: has run %d times", id, a.tries[id].Route, len(runs))
		}
		switch status := a.heard[id]; status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			a.fail("%s on %s: answered with %d, and has run", id, a.tries[id].Route, status)
		}
	}
	return a.failures
}

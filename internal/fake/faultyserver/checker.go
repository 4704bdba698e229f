package faultyserver

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Checker collects what clients sent, what servers executed and what clients got, and checks that they agree.
type Checker struct {
	mu          sync.Mutex // guards the fields below, and the executions in them
	requests    map[string]*Request
	executions  map[string][]*Execution // by the request's id, in order of their start
	bySignature map[string]*Execution
	statuses    map[string]int // that clients got, by the request's id
	violations  []string
	counts      map[string]int
}

func newChecker() *Checker {
	return &Checker{
		requests:    map[string]*Request{},
		executions:  map[string][]*Execution{},
		bySignature: map[string]*Execution{},
		statuses:    map[string]int{},
		counts:      map[string]int{},
	}
}

// Failf records a violation.
func (c *Checker) Failf(format string, parts ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(format, parts...)
}

func (c *Checker) failLocked(format string, parts ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, parts...))
}

// Count counts an event.
func (c *Checker) Count(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[event]++
}

// Counts returns the number of events by name. It is called once the simulation is over.
func (c *Checker) Counts() map[string]int { return c.counts }

// NewItem returns a random item of a batch job, as a request that is about to be sent.
func (c *Checker) NewItem(random *rand.Rand, id string) *Request {
	r := &Request{
		ID:     id,
		Route:  RouteItem,
		Path:   fmt.Sprintf("/item/%x", random.Uint32()),
		Events: 1 + random.IntN(maxEvents),
	}
	r.Header = http.Header{"X-Model": {"m"}, "X-Prompt-Prefix": {fmt.Sprintf("%x:7", random.Uint32())}}
	r.Body = requestBody(id, randomBodyLength(random))
	c.recordRequest(r)
	return r
}

// recordRequest records a request that a client is about to send.
func (c *Checker) recordRequest(request *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[request.ID] = request
	c.counts[countRequests]++
}

// checkArrival checks the head of a request at a server, and returns the request that a client sent; nil: none did.
func (c *Checker) checkArrival(r *http.Request) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[r.Header.Get("X-Request-Id")]
	if request == nil {
		c.failLocked("a request that no client sent: %s %s", r.RequestURI, r.Header)
		return nil
	}
	if r.Host != Host || r.Method != http.MethodPost || r.RequestURI != request.Path ||
		r.ContentLength != int64(len(request.Body)) {
		c.failLocked("%s: other request line or length: %s %s %d", request.ID, r.Method, r.RequestURI, r.ContentLength)
	}
	for name, values := range request.Header {
		if !slices.Equal(r.Header[name], values) {
			c.failLocked("%s: header %s is %q", request.ID, name, r.Header[name])
		}
	}
	if r.Header.Get("X-Tenant") != Tenant || r.Header.Get("Api-Key") != "" || len(r.Header["X-Expect-Instance"]) != 1 {
		c.failLocked("%s: with another tenant, a key, or several instances: %v", request.ID, r.Header)
	}
	return request
}

// checkBodyPart checks bytes of a body that were received at an offset.
func (c *Checker) checkBodyPart(request *Request, offset int, part []byte) {
	if offset > len(request.Body) || !bytes.HasPrefix(request.Body[offset:], part) {
		c.Failf("%s: other bytes at %d of its body: %.80q", request.ID, offset, part)
	}
}

// recordExecution records that a server begins to execute a request, of which it got some headers.
func (c *Checker) recordExecution(request *Request, received http.Header, status int) *Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	after, _ := strconv.Atoi(received.Get("Last-Event-Id"))
	e := &Execution{
		Request:    request,
		Signature:  fmt.Sprintf("%s.%d", request.ID, len(c.executions[request.ID])+1),
		AfterEvent: after,
		Attempt:    received.Get("X-Attempt"),
		Status:     status,
	}
	c.executions[request.ID] = append(c.executions[request.ID], e)
	c.bySignature[e.Signature] = e
	c.counts[countExecutions]++
	return e
}

// Executions returns the executions of a request so far whose server got a value of X-Attempt.
func (c *Checker) Executions(request *Request, attempt string) (list []*Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, execution := range c.executions[request.ID] {
		if execution.Attempt == attempt {
			list = append(list, execution)
		}
	}
	return list
}

// response is what a client got.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error // why the body isn't complete
}

// checkResponse checks what a client got for a request.
func (c *Checker) checkResponse(request *Request, got response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[request.ID] = got.status
	signature := got.header.Get("X-Response-Signature")
	execution := c.bySignature[signature]
	success := got.status >= 200 && got.status < 300
	switch {
	case signature != "" && (execution == nil || execution.Request != request):
		c.failLocked("%s: answered with %d under the signature %q of another", request.ID, got.status, signature)
	case execution != nil && execution.Status != got.status:
		c.failLocked("%s: answered with %d, where the server sent %d", request.ID, got.status, execution.Status)
	case success && execution == nil:
		c.failLocked("%s: a success without a signature", request.ID)
	case execution != nil && got.header.Get("X-Request-Id") != request.ID:
		c.failLocked("%s: answered under the id %q", request.ID, got.header.Get("X-Request-Id"))
	case execution != nil && got.header.Get("Versions") != versions:
		c.failLocked("%s: answered with the versions %q", request.ID, got.header["Versions"])
	case success && got.header.Get("Content-Encoding") != "":
		c.failLocked("%s: a success in an encoding", request.ID)
	case success && request.streaming():
		c.checkStreamLocked(request, execution, got)
	case success && got.err == nil && (execution.Truncated || !bytes.Equal(execution.Body, got.body)):
		c.failLocked("%s: a success that isn't complete: %.80q, where %.80q was sent (truncated: %v)", request.ID,
			got.body, execution.Body, execution.Truncated)
	}
	if success && got.err == nil {
		c.counts[countSuccesses]++
	}
}

// checkStreamLocked checks the events of a stream: they are in order, and where another execution continues,
// it was asked to continue there.
func (c *Checker) checkStreamLocked(request *Request, first *Execution, got response) {
	text := string(got.body)
	last, current := request.AfterEvent, first
	for text != "" {
		event, rest, complete := strings.Cut(text, "\n\n")
		if !complete {
			c.failLocked("%s: a part of an event: %q", request.ID, text)
			return
		}
		_, signature, _ := strings.Cut(event, signatureSeparator)
		event += "\n\n"
		execution := c.bySignature[signature]
		if execution == nil || execution.Request != request {
			c.failLocked("%s: an event of another: %q", request.ID, event)
			return
		}
		if execution != current && execution.AfterEvent != last || last == request.AfterEvent && execution != first {
			c.failLocked("%s: after event %d comes an execution that was asked to continue after %d", request.ID, last,
				execution.AfterEvent)
		}
		if last++; event != execution.eventText(last) {
			c.failLocked("%s: in place of event %d is %q", request.ID, last, event)
			return
		}
		text, current = rest, execution
	}
	if got.err == nil && last != request.Events {
		c.failLocked("%s: looks complete after event %d of %d", request.ID, last, request.Events)
	}
	if current != first {
		c.counts[countResumedStreams]++
	}
}

// CheckCollected checks the data of an item's events that was collected from several attempts: it begins with
// the first event, is in order, and where another execution continues, it was asked to continue there.
func (c *Checker) CheckCollected(request *Request, data []string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var current *Execution
	for i, text := range data {
		_, signature, _ := strings.Cut(text, signatureSeparator)
		execution := c.bySignature[signature]
		if execution == nil || execution.Request != request || text != execution.eventData(i+1) {
			c.failLocked("%s: in place of event %d is %q", request.ID, i+1, text)
			return
		}
		if execution != current && execution.AfterEvent != i {
			c.failLocked("%s: after event %d comes an execution that was asked to continue after %d", request.ID, i,
				execution.AfterEvent)
		}
		current = execution
	}
	if complete && len(data) != request.Events {
		c.failLocked("%s: complete after event %d of %d", request.ID, len(data), request.Events)
	}
}

// Finish checks what holds once the simulation is over, and returns all violations.
func (c *Checker) Finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, executions := range c.executions {
		request := c.requests[id]
		allowed := 1
		if request.idempotent() {
			allowed = maxAttempts
		}
		if len(executions) > allowed && request.Route != RouteItem {
			c.failLocked("%s on %s: was executed %d times", id, request.Route, len(executions))
		}
		switch status := c.statuses[id]; status {
		case http.StatusTooManyRequests,
			http.StatusServiceUnavailable,
			http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			c.failLocked("%s on %s: answered with %d, and was executed", id, request.Route, status)
		}
	}
	return c.violations
}

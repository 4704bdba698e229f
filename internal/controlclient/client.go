package controlclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Limits and timeouts of a call, as prescribed by the operator's API.
const (
	maxRedirects        = 2
	maxOtherRejections  = 3           // see call.classify
	attemptTimeout      = time.Second // of one attempt
	attemptTimeoutPerMB = time.Second // added for each MiB of the body
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = 800 * time.Millisecond
	maxResponseBytes    = 64 << 20
)

// DefaultTimeout is the time for which a request is repeated if Client.Timeout is 0.
const DefaultTimeout = 10 * time.Second

// errorNames is the namespace of the error types; their names begin with it.
var errorNames = errorx.NewNamespace("control")

// The error types of Call, to be tested for with errorx.IsOfType.
var (
	// Rejected is the type of a definite rejection; StatusOf returns its HTTP status.
	Rejected = errorNames.NewType("refused")
	// Unanswered is the type for a request without a definite answer: it may have taken effect, or may still do so.
	Unanswered = errorNames.NewType("unanswered")
)

// statusProperty holds the HTTP status of a rejection.
var statusProperty = errorx.RegisterPrintableProperty("status")

// StatusOf returns the HTTP status of an error of type Rejected, or 0 for other errors.
func StatusOf(err error) int {
	if value, known := errorx.ExtractProperty(err, statusProperty); known {
		return value.(int)
	}
	return 0
}

// Client calls the control processes at a list of addresses. It is safe for concurrent use as long as its fields are
// not changed.
type Client struct {
	Addresses []string      // of control processes, IP:port, in the order in which they are tried
	Timeout   time.Duration // of a call including all its attempts; 0: DefaultTimeout
}

// Request is one request to the operator's API.
type Request struct {
	Method  string
	Path    string
	IfMatch string // the generation that a change builds on; empty: none
	Body    []byte // JSON; nil: none
}

// Response is a response with a status of 200 to 299.
type Response struct {
	Address string // of the control process that answered
	Status  int
	Header  http.Header
	Body    []byte
}

// Call sends a request to one control process after the other until one gives a definite answer, with exponential
// backoff between the attempts. The error is of type Rejected if the request was rejected, and of type Unanswered if
// there was no definite answer within the timeout.
func (c *Client) Call(ctx context.Context, request Request) (*Response, error) {
	if len(c.Addresses) == 0 {
		return nil, Unanswered.New("no address of a control process was given")
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sending := &call{request: request, backoff: minBackoff}
	for attempt := 0; ; attempt++ {
		response, err := sending.attempt(ctx, c.Addresses[attempt%len(c.Addresses)])
		if err == nil || errorx.IsOfType(err, Rejected) {
			return response, err
		}
		if !sending.wait(ctx) {
			return nil, Unanswered.Wrap(err, "%s %s got no clear answer within %v", request.Method, request.Path, timeout)
		}
	}
}

// call is a request that is being sent.
type call struct {
	request         Request
	backoff         time.Duration
	otherRejections int
}

// wait waits for the backoff time and doubles it for the next call. It returns false if ctx ended first.
func (c *call) wait(ctx context.Context) bool {
	timer := time.NewTimer(c.backoff)
	defer timer.Stop()
	c.backoff = min(2*c.backoff, maxBackoff)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request to one address and follows redirections from there.
func (c *call) attempt(ctx context.Context, address string) (*Response, error) {
	timeout := attemptTimeout + time.Duration(len(c.request.Body)>>20)*attemptTimeoutPerMB
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := "http://" + address + c.request.Path
	for range maxRedirects + 1 {
		response, err := c.send(ctx, target)
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		response.Body.Close()
		if err != nil {
			return nil, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return c.classify(response, body)
		}
		if target = response.Header.Get("Location"); target == "" {
			return nil, Unanswered.New("%s redirects without a location", address)
		}
	}
	return nil, Unanswered.New("%s redirects more than %d times", address, maxRedirects)
}

// send sends the request once.
func (c *call) send(ctx context.Context, target string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.request.Method, target, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, err
	}
	if len(c.request.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.request.IfMatch != "" {
		request.Header.Set("If-Match", c.request.IfMatch)
	}
	client := http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client.Do(request)
}

// classify returns the response of a success, an error of type Rejected for a definite rejection, and an error of type
// Unanswered for any other answer. Of the statuses from 400 to 499, some are definite rejections at once, 408 and 429
// never are, and the others are once a call has received maxOtherRejections of them.
func (c *call) classify(response *http.Response, body []byte) (*Response, error) {
	status := response.StatusCode
	if status >= 200 && status < 300 {
		return &Response{Address: response.Request.URL.Host, Status: status, Header: response.Header, Body: body}, nil
	}
	rejection := Rejected.New("%s %s: %d %s", c.request.Method, c.request.Path, status, string(bytes.TrimSpace(body))).
		WithProperty(statusProperty, status)
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return nil, rejection
	}
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
		if c.otherRejections++; c.otherRejections >= maxOtherRejections {
			return nil, rejection
		}
	}
	return nil, Unanswered.New("%s answers %d", response.Request.URL.Host, status)
}

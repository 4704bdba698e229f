// Package controlclient owns the caller's side of the operator's API: it finds a control process that answers, follows
// redirections and repeats what got no clear answer. It must never repeat what was refused, nor change an order between two
// sends.
package controlclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// How the client calls, by the protocol's own figures.
const (
	maxRedirects        = 2
	maxOtherRefusals    = 3 // of statuses of 400 to 499 that are neither final nor to be repeated
	attemptTimeout      = time.Second
	attemptTimeoutPerMB = time.Second // on top, for large bodies
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = 800 * time.Millisecond
	maxResponseBytes    = 64 << 20
)

// DefaultTimeout is how long an order is repeated where Client.Timeout is 0.
const DefaultTimeout = 10 * time.Second

var errorNames = errorx.NewNamespace("control")

// The kinds of errors.
var (
	// Refused is a clear refusal; StatusOf gives its HTTP status.
	Refused = errorNames.NewType("refused")
	// Unanswered is an order without a clear answer: it may be in force or not.
	Unanswered = errorNames.NewType("unanswered")
)

var statusProperty = errorx.RegisterPrintableProperty("status")

// StatusOf gives the HTTP status of a refusal, 0 for other errors.
func StatusOf(err error) int {
	if value, known := errorx.ExtractProperty(err, statusProperty); known {
		return value.(int)
	}
	return 0
}

// Client calls whichever control process answers.
type Client struct {
	Addresses []string      // of control processes, ip:port, in the order in which they are tried
	Timeout   time.Duration // how long an order is repeated; 0: DefaultTimeout
}

// Order is one call.
type Request struct {
	Method  string
	Path    string
	IfMatch string // the version that a change builds on; empty: none
	Body    []byte // JSON
}

// Answer is a success.
type Response struct {
	Address string // of the control process that answered
	Status  int
	Header  http.Header
	Body    []byte
}

// Call sends an order until it is answered. The error is of the types above.
func (c *Client) Call(ctx context.Context, order Request) (*Response, error) {
	if len(c.Addresses) == 0 {
		return nil, Unanswered.New("no address of a control process was given")
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := &call{request: order, backoff: minBackoff}
	for try := 0; ; try++ {
		answer, err := d.attempt(ctx, c.Addresses[try%len(c.Addresses)])
		if err == nil || errorx.IsOfType(err, Refused) {
			return answer, err
		}
		if !d.wait(ctx) {
			return nil, Unanswered.Wrap(err, "%s %s got no clear answer within %v", order.Method, order.Path, timeout)
		}
	}
}

// delivery is an order under way.
type call struct {
	request       Request
	backoff       time.Duration
	otherRefusals int
}

// wait pauses before the next try, longer each time; false: the time is over.
func (d *call) wait(ctx context.Context) bool {
	timer := time.NewTimer(d.backoff)
	defer timer.Stop()
	d.backoff = min(2*d.backoff, maxBackoff)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// once sends the order to one address and on to where that redirects.
func (d *call) attempt(ctx context.Context, address string) (*Response, error) {
	patience := attemptTimeout + time.Duration(len(d.request.Body)>>20)*attemptTimeoutPerMB
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	target := "http://" + address + d.request.Path
	for range maxRedirects + 1 {
		response, err := d.send(ctx, target)
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		response.Body.Close()
		if err != nil {
			return nil, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return d.classify(response, body)
		}
		if target = response.Header.Get("Location"); target == "" {
			return nil, Unanswered.New("%s redirects without a location", address)
		}
	}
	return nil, Unanswered.New("%s redirects more than %d times", address, maxRedirects)
}

func (d *call) send(ctx context.Context, target string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, d.request.Method, target, bytes.NewReader(d.request.Body))
	if err != nil {
		return nil, err
	}
	if len(d.request.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if d.request.IfMatch != "" {
		request.Header.Set("If-Match", d.request.IfMatch)
	}
	client := http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client.Do(request)
}

func (d *call) classify(response *http.Response, body []byte) (*Response, error) {
	status := response.StatusCode
	if status >= 200 && status < 300 {
		return &Response{Address: response.Request.URL.Host, Status: status, Header: response.Header, Body: body}, nil
	}
	refusal := Refused.New("%s %s: %d %s", d.request.Method, d.request.Path, status, string(bytes.TrimSpace(body))).
		WithProperty(statusProperty, status)
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return nil, refusal
	}
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
		if d.otherRefusals++; d.otherRefusals >= maxOtherRefusals {
			return nil, refusal
		}
	}
	return nil, Unanswered.New("%s answers %d", response.Request.URL.Host, status)
}

// Version gives a version as If-Match holds it.
func IfMatch(generation uint64) string { return strconv.FormatUint(generation, 10) }

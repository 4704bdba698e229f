package serverclient

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/httpsyntax"
)

// Request is an item to send to a server. The callbacks are called from the goroutine of Client.Run.
type Request struct {
	Address      string // host:port of the server
	Instance     string // id of the server
	Host         string // host name of the route
	Tenant       string
	Item         *job.Item
	LastEventID  int64         // id of the last event that the caller has, -1 if it has none
	Deadline     time.Duration // time that the server is given for the item
	StallTimeout time.Duration // longest time for which the server may receive or send nothing

	// Gate is called right before the first byte is written. If it returns false nothing is written.
	Gate func() bool
	// OnLoad is called with the load that the server reports in X-Server-Load. It may be nil.
	OnLoad func(header string)
	// OnFirstEvent is called with the time from the start of the request to the first event. It may be nil.
	OnFirstEvent func(time.Duration)
	// OnProgress is called from time to time with the events that were received since the last call. The first
	// of them follows the event with the id after; the last of them has the id last. It may be nil.
	OnProgress func(after, last int64, events [][]byte)
}

// Result is how a request ended.
type Result int

// The results of a request.
const (
	Completed     Result = iota // 200, and all events of the response were received
	Failed                      // 500
	Unprocessable               // 422: no server will ever process the item
	NotExecuted                 // the server states that it didn't run the item
	Rejected                    // any other status
	Interrupted                 // the connection broke, or the bytes received on it can't be trusted any further
	NotSent                     // no byte was written, because the server couldn't be reached
	Canceled                    // the gate returned false, or the context ended
	Malformed                   // no byte was written, because the item can't be expressed as an HTTP request
)

// Outcome is the outcome of a request. Events and LastEventID are valid with every result.
type Outcome struct {
	Result      Result
	Events      [][]byte      // data of the events after the request's LastEventID, in order
	LastEventID int64         // id of the last event received, or the request's LastEventID if there was none
	Draining    bool          // the server closes the connection, as it does when it is draining
	RetryAfter  time.Duration // pause that the server asks for, 0 if it doesn't
	Cause       error         // why the request was interrupted, for the log; may be nil
}

// withoutLineEnds returns the item with CR and LF removed from its headers' values. Stores of earlier versions accepted
// such items, and sent them in this form.
func withoutLineEnds(item *job.Item) *job.Item {
	if !slices.ContainsFunc(item.Headers, func(h job.Header) bool { return strings.ContainsAny(h.Value, "\r\n") }) {
		return item
	}
	cleaned := *item
	cleaned.Headers = slices.Clone(item.Headers)
	for i := range cleaned.Headers {
		cleaned.Headers[i].Value = lineEnds.Replace(cleaned.Headers[i].Value)
	}
	return &cleaned
}

// lineEnds removes CR and LF.
var lineEnds = strings.NewReplacer("\r", "", "\n", "")

// checkSyntax checks everything that goes into the request's header, whatever has accepted it. Errors wrap
// httpsyntax.ErrMalformed.
func (r *Request) checkSyntax() error {
	if err := r.Item.CheckSyntax(); err != nil {
		return fmt.Errorf("serverclient: item: %w", err)
	}
	if err := httpsyntax.CheckHost(r.Host); err != nil {
		return fmt.Errorf("serverclient: route: %w", err)
	}
	if r.Tenant != "" { // empty on routes without keys
		if err := httpsyntax.CheckIdentifier("tenant", r.Tenant); err != nil {
			return fmt.Errorf("serverclient: %w", err)
		}
	}
	if err := httpsyntax.CheckIdentifier("instance", r.Instance); err != nil {
		return fmt.Errorf("serverclient: server: %w", err)
	}
	return nil
}

// encodeHeader returns the header of an HTTP request for an item. checkSyntax has returned nil for the request.
func encodeHeader(request *Request, lastEventID int64) []byte {
	item := request.Item
	out := make([]byte, 0, 512)
	out = append(out, "POST "...)
	out = append(out, item.Path...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", request.Host)
	out = appendHeader(out, "X-Request-Id", item.ID)
	out = appendHeader(out, "X-Tenant", request.Tenant)
	out = appendHeader(out, "X-Expect-Instance", request.Instance)
	out = appendHeader(out, "X-Deadline-Ms", strconv.FormatInt(max(request.Deadline.Milliseconds(), 1), 10))
	if lastEventID >= 0 {
		out = appendHeader(out, "Last-Event-Id", strconv.FormatInt(lastEventID, 10))
	}
	for _, header := range item.Headers {
		if !isReservedHeader(header.Name) {
			out = appendHeader(out, header.Name, header.Value)
		}
	}
	out = appendHeader(out, "Content-Length", strconv.Itoa(len(item.Body)))
	return append(out, "\r\n"...)
}

// isReservedHeader reports whether an item's header must not be forwarded: this package sets it itself, it
// concerns a single connection, or it is the client's secret.
func isReservedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "host", "x-request-id", "x-tenant", "x-expect-instance", "x-deadline-ms", "last-event-id", "content-length",
		"transfer-encoding", "connection", "keep-alive", "expect", "upgrade", "te", "trailer", "api-key",
		"proxy-authenticate", "proxy-authorization", "proxy-connection":
		return true
	}
	return false
}

// appendHeader appends a header line.
func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

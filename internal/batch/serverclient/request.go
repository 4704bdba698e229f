package serverclient

import (
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
)

// Request is an item to send to a server. The callbacks are called from the goroutine of Client.Run.
type Request struct {
	Address      string // host:port of the server
	Instance     string // its id
	Host         string // of the route
	Tenant       string
	Item         *job.Item
	LastEventID  int64         // of the last event that the caller has, -1: none
	Deadline     time.Duration // that the server is given
	StallTimeout time.Duration // for which the server may take or send nothing

	// Gate is called right before the first byte. If it returns false nothing is written.
	Gate func() bool
	// OnLoad is called with the load that the server reports, X-Server-Load. May be nil.
	OnLoad func(header string)
	// OnFirstEvent is called with how long after the start of the request the first event came. May be nil.
	OnFirstEvent func(time.Duration)
	// OnProgress is called from time to time with events that came since the last call: those after the
	// event with the id after, up to that with the id last. May be nil.
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
	Rejected                    // another status
	Interrupted                 // the connection broke, or what it brought can't be trusted any further
	NotSent                     // no byte was written: the server couldn't be reached
	Canceled                    // the gate said no, or the context ended
)

// Outcome is what became of a request. Its events and LastEventID are valid with every result.
type Outcome struct {
	Result      Result
	Events      [][]byte      // data of the events after the request's LastEventID, in order
	LastEventID int64         // of the last event, or as in the request
	Draining    bool          // the server closes the connection, as it does when it is draining
	RetryAfter  time.Duration // that the server asks for, 0: nothing
	Cause       error         // why it was interrupted, for the log; may be nil
}

// encodeHeader returns the header of an HTTP request for an item.
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

// isReservedHeader reports whether an item's header isn't passed on: this package sets it itself, it
// concerns one connection only, or it is the client's secret.
func isReservedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "host", "x-request-id", "x-tenant", "x-expect-instance", "x-deadline-ms", "last-event-id", "content-length",
		"transfer-encoding", "connection", "keep-alive", "expect", "upgrade", "te", "trailer", "api-key":
		return true
	}
	return false
}

// appendHeader appends a header line. Line ends in the value, with which a client could add headers, are
// left out.
func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	for i := range len(value) {
		if value[i] != '\r' && value[i] != '\n' {
			out = append(out, value[i])
		}
	}
	return append(out, "\r\n"...)
}

package proxy

import (
	"net/http"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
)

const (
	// unreadyRetryAfter is the Retry-After of a gateway that lacks a configuration, a valid key lease or
	// memory.
	unreadyRetryAfter = 250 * time.Millisecond
	// noServerRetryAfter is the Retry-After of requests that no server accepted or that arrive while the
	// process shuts down.
	noServerRetryAfter = 150 * time.Millisecond
)

// errorResponse is a response that the gateway generates to a request that wasn't sent to any server.
type errorResponse struct {
	status          int
	message         string
	retryAfter      time.Duration
	closeConnection bool // because the start of the next request is uncertain, or the process exits
}

// write sends the response to the client.
func (e *errorResponse) write(w http.ResponseWriter) {
	if e.closeConnection {
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, e.status, e.retryAfter, e.message)
}

// writeResponse sends a response that the gateway generates. A retryAfter of 0 sets no Retry-After.
func writeResponse(w http.ResponseWriter, status int, retryAfter time.Duration, message string) {
	if retryAfter > 0 {
		w.Header().Set(headerRetryAfter, formatSeconds(retryAfter))
	}
	if message != "" {
		message += "\n"
		w.Header().Set(headerContentType, "text/plain")
	}
	w.Header().Set(headerContentLength, strconv.Itoa(len(message)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(message)) // fails only if the client has left
}

// formatSeconds formats a Retry-After in seconds, with up to three decimals.
func formatSeconds(wait time.Duration) string {
	return strconv.FormatFloat(wait.Round(time.Millisecond).Seconds(), 'f', -1, 64)
}

// reject sends a response with a status that promises that the request has not run and never will.
func (q *request) reject(status int, retryAfter time.Duration) {
	writeResponse(q.w, status, max(retryAfter, time.Millisecond), "")
}

// giveUp ends a request for which no attempt produced a final response. It sends the status that the request's
// history allows, or aborts the connection if the client has left or its stream has started.
func (q *request) giveUp() {
	if q.r.Context().Err() != nil {
		q.count(outcomes.ClientLeft) // no effect on a started stream, which has been counted
		panic(http.ErrAbortHandler)
	}
	if q.streamStarted {
		q.abortStream()
	}
	status := q.history.FinalStatus(!time.Now().Before(q.deadline))
	if q.proxy.bugs.alwaysPromisesNotRun {
		status = http.StatusServiceUnavailable
	}
	if status == http.StatusServiceUnavailable {
		q.count(outcomes.NoServer)
		q.reject(status, noServerRetryAfter)
		return
	}
	q.count(outcomes.Lost)
	writeResponse(q.w, status, 0, "")
}

// abortStream ends a started stream that no server continues. It aborts the client's connection, by a panic, so
// that the response doesn't look complete.
func (q *request) abortStream() {
	q.proxy.countStreamEnd(q.route.Name, outcomes.Truncated)
	panic(http.ErrAbortHandler)
}

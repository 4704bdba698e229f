package proxy

import (
	"net/http"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
)

// problem is an answer of the gateway's own to a request that goes nowhere.
type errorResponse struct {
	status          int
	message         string
	retryAfter      time.Duration
	closeConnection bool // where the request ends can't be relied on
}

func (p *errorResponse) write(w http.ResponseWriter) {
	if p.closeConnection {
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, p.status, p.retryAfter, p.message)
}

// writeOwn writes an answer of the gateway's own.
func writeResponse(w http.ResponseWriter, status int, retryAfter time.Duration, text string) {
	if retryAfter > 0 {
		w.Header().Set(headerRetryAfter, formatSeconds(retryAfter))
	}
	if text != "" {
		text += "\n"
		w.Header().Set(headerContentType, "text/plain")
	}
	w.Header().Set(headerContentLength, strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write([]byte(text))
}

// seconds writes a wait in seconds with decimals.
func formatSeconds(wait time.Duration) string {
	return strconv.FormatFloat(wait.Round(time.Millisecond).Seconds(), 'f', -1, 64)
}

// comeBack is when a request that no server took may try again.
const noServerRetryAfter = 150 * time.Millisecond

// refuse answers that the request has not run and never will.
func (q *request) reject(status int, retryAfter time.Duration) {
	writeResponse(q.w, status, max(retryAfter, time.Millisecond), "")
}

// giveUp ends a request that no attempt answered.
func (q *request) giveUp() {
	if q.r.Context().Err() != nil || q.streamStarted {
		q.count(outcomes.ClientLeft) // unless its answer has begun
		panic(http.ErrAbortHandler)  // nobody is there, or an answer that has begun must not look complete
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

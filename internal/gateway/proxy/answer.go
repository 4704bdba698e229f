package proxy

import (
	"net/http"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
)

// problem is an answer of the gateway's own to a request that goes nowhere.
type problem struct {
	status     int
	text       string
	retryAfter time.Duration
	close      bool // where the request ends can't be relied on
}

func (p *problem) write(w http.ResponseWriter) {
	if p.close {
		w.Header().Set("Connection", "close")
	}
	writeOwn(w, p.status, p.retryAfter, p.text)
}

// writeOwn writes an answer of the gateway's own.
func writeOwn(w http.ResponseWriter, status int, retryAfter time.Duration, text string) {
	if retryAfter > 0 {
		w.Header().Set(headerRetryAfter, seconds(retryAfter))
	}
	if text != "" {
		text += "\n"
		w.Header().Set(headerContentType, "text/plain")
	}
	w.Header().Set(headerLength, strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write([]byte(text))
}

// seconds writes a wait in seconds with decimals.
func seconds(wait time.Duration) string {
	return strconv.FormatFloat(wait.Round(time.Millisecond).Seconds(), 'f', -1, 64)
}

// comeBack is when a request that no server took may try again.
const comeBack = 150 * time.Millisecond

// refuse answers that the request has not run and never will.
func (q *request) refuse(status int, retryAfter time.Duration) {
	writeOwn(q.w, status, max(retryAfter, time.Millisecond), "")
}

// giveUp ends a request that no attempt answered.
func (q *request) giveUp() {
	if q.r.Context().Err() != nil || q.started {
		q.count(outcomes.ClientLeft) // unless its answer has begun
		panic(http.ErrAbortHandler)  // nobody is there, or an answer that has begun must not look complete
	}
	status := q.account.Status(!time.Now().Before(q.deadline))
	if q.proxy.bugs.alwaysRefuses {
		status = http.StatusServiceUnavailable
	}
	if status == http.StatusServiceUnavailable {
		q.count(outcomes.NoServer)
		q.refuse(status, comeBack)
		return
	}
	q.count(outcomes.Lost)
	writeOwn(q.w, status, 0, "")
}

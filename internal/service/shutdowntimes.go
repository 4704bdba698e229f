package service

import "time"

// The platform kills a process some time after it has asked it to end (SIGTERM): after the longest request
// deadline, of which it counts at most maxDeadlineCounted, plus killGrace.
const (
	maxDeadlineCounted = 3 * time.Second
	killGrace          = 700 * time.Millisecond
	// responseMargin is the time before that at which the last responses are sent. The process exits two
	// thirds of it later.
	responseMargin = 150 * time.Millisecond
)

// ShutdownTimes returns, as times after SIGTERM, when requests that are still open get
// their final response, and when the process exits whatever is open. maxDeadline is the longest deadline of a
// request. A request that could take longer than that is not waited for, so that its client still gets a
// response.
func ShutdownTimes(maxDeadline time.Duration) (responses, exit time.Duration) {
	killAfter := min(maxDeadline, maxDeadlineCounted) + killGrace
	return killAfter - responseMargin, killAfter - responseMargin/3
}

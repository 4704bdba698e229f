package service

import "time"

// The platform kills a process some time after it has sent SIGTERM: after the longest deadline of a request, of
// which it counts at most maxDeadlineCounted, plus killGrace.
const (
	maxDeadlineCounted = 3 * time.Second
	killGrace          = 700 * time.Millisecond
	// responseMargin is how long before the kill the last responses are sent. The process exits when two thirds
	// of it have passed.
	responseMargin = 150 * time.Millisecond
)

// ShutdownTimes returns the times after SIGTERM at which open requests get their final response, and at which
// the process exits even if connections are open. maxDeadline is the longest deadline of a request. Requests
// that could take longer are answered at the first of these times, so that their clients still get a
// response.
func ShutdownTimes(maxDeadline time.Duration) (responses, exit time.Duration) {
	killAfter := min(maxDeadline, maxDeadlineCounted) + killGrace
	return killAfter - responseMargin, killAfter - responseMargin/3
}

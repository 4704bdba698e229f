package serverclient

import (
	"context"
	"time"
)

const (
	// readInterval is the pause before another read of a stream of which all that was received is read: one
	// wake-up of the process for several events.
	readInterval = 90 * time.Millisecond
	// progressInterval is the time between calls of Request.OnProgress.
	progressInterval = 250 * time.Millisecond
	// eventBufferSize is how much of a stream is parsed at a time, bytes.
	eventBufferSize = 4 << 10
)

// readEvents reads the events of a response into the outcome. It reports whether all came, complete and in
// order.
func (e *exchange) readEvents(ctx context.Context, response responseHeader) bool {
	conn, request, outcome := e.conn, e.request, e.outcome
	body := newBodyReader(conn.reader, response)
	parser := eventParser{outcome: outcome, acceptAnyOrder: e.bugs.acceptAnyOrder}
	buffer := make([]byte, eventBufferSize)
	deadlineSet := e.started
	progress := progressReporter{reportedAt: e.started, lastEventID: request.LastEventID}
	for {
		n, err := body.Read(buffer)
		noneBefore := len(outcome.Events) == 0
		if !parser.feed(buffer[:n]) {
			outcome.Cause = errEventOrder
			return false
		}
		if noneBefore && len(outcome.Events) > 0 && request.OnFirstEvent != nil {
			request.OnFirstEvent(time.Since(e.started))
		}
		if body.complete {
			return parser.atBoundary()
		}
		if err != nil {
			outcome.Cause = err
			return false
		}
		if conn.reader.Buffered() > 0 && time.Since(deadlineSet) < request.StallTimeout/4 {
			continue
		}
		progress.report(request, outcome)
		if conn.reader.Buffered() == 0 && len(outcome.Events) > 0 {
			time.Sleep(readInterval)
		}
		deadlineSet = time.Now()
		if conn.SetReadDeadline(deadlineSet.Add(request.StallTimeout)) != nil || ctx.Err() != nil {
			return false
		}
	}
}

// progressReporter remembers which events OnProgress was called with.
type progressReporter struct {
	reportedAt  time.Time
	count       int // of the outcome's events
	lastEventID int64
}

// report calls OnProgress with the events that came since the last call, unless that was a moment ago.
func (p *progressReporter) report(request *Request, outcome *Outcome) {
	if request.OnProgress == nil || len(outcome.Events) == p.count || time.Since(p.reportedAt) < progressInterval {
		return
	}
	request.OnProgress(p.lastEventID, outcome.LastEventID, outcome.Events[p.count:])
	*p = progressReporter{reportedAt: time.Now(), count: len(outcome.Events), lastEventID: outcome.LastEventID}
}

package serverclient

import (
	"context"
	"time"
)

const (
	// readInterval is the pause before the next read of a stream after all received bytes were read, so that the
	// process wakes up once for several events.
	readInterval = 90 * time.Millisecond
	// progressInterval is the minimum time between calls of Request.OnProgress.
	progressInterval = 250 * time.Millisecond
	// eventBufferSize is the number of bytes of a stream that are parsed at a time.
	eventBufferSize = 4 << 10
)

// readEvents reads the events of a response into the outcome. It reports whether all events were received,
// complete and in order.
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

// progressReporter records when OnProgress was last called, and which events were reported with it so far.
type progressReporter struct {
	reportedAt  time.Time
	count       int // number of the outcome's events that were reported
	lastEventID int64
}

// report calls OnProgress with the events that were received since the last call, unless that call was less than
// progressInterval ago.
func (p *progressReporter) report(request *Request, outcome *Outcome) {
	if request.OnProgress == nil || len(outcome.Events) == p.count || time.Since(p.reportedAt) < progressInterval {
		return
	}
	request.OnProgress(p.lastEventID, outcome.LastEventID, outcome.Events[p.count:])
	*p = progressReporter{reportedAt: time.Now(), count: len(outcome.Events), lastEventID: outcome.LastEventID}
}

package serverclient

import (
	"bytes"
	"context"
	"strconv"
	"time"
)

// readEvents reads a stream to its end. It tells whether all of it came, in order.
func (c *Client) readEvents(ctx context.Context, conn *connection, request *Request, answer responseHeader, outcome *Outcome, started time.Time) bool {
	body := newBodyReader(conn.reader, answer)
	parser := eventParser{outcome: outcome, acceptAnyOrder: c.bugs.acceptAnyOrder}
	buffer := make([]byte, 4<<10)
	renewed := started
	told := progressReporter{reportedAt: started, lastEventID: request.LastEventID}
	for {
		n, err := body.Read(buffer)
		first := len(outcome.Events) == 0
		if !parser.feed(buffer[:n]) {
			outcome.Cause = errEventOrder
			return false
		}
		if first && len(outcome.Events) > 0 && request.OnFirstEvent != nil {
			request.OnFirstEvent(time.Since(started))
		}
		if body.complete {
			return parser.atBoundary()
		}
		if err != nil {
			outcome.Cause = err
			return false
		}
		if conn.reader.Buffered() > 0 && time.Since(renewed) < request.StallTimeout/4 {
			continue
		}
		told.report(request, outcome)
		if conn.reader.Buffered() == 0 && len(outcome.Events) > 0 {
			time.Sleep(readInterval)
		}
		renewed = time.Now()
		if conn.SetReadDeadline(renewed.Add(request.StallTimeout)) != nil || ctx.Err() != nil {
			return false
		}
	}
}

// eventParser takes events off a stream. Only events that have ended count.
type eventParser struct {
	outcome *Outcome
	line    []byte // that has not ended
	data    []byte
	hasData bool
	id      int64
	hasID   bool

	acceptAnyOrder bool // of tests
}

// feed takes bytes. It tells whether they are events in order.
func (p *eventParser) feed(piece []byte) bool {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			p.line = append(p.line, piece...)
			return len(p.line) <= maxEventSize
		}
		p.line = append(p.line, piece[:end]...)
		piece = piece[end+1:]
		ok := p.parseLine(bytes.TrimSuffix(p.line, []byte("\r")))
		p.line = p.line[:0]
		if !ok {
			return false
		}
	}
	return true
}

// atBoundary tells that no event has begun that has not ended.
func (p *eventParser) atBoundary() bool { return len(p.line) == 0 && !p.hasData && !p.hasID }

func (p *eventParser) parseLine(line []byte) bool {
	if len(line) == 0 {
		return p.endEvent()
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return false
		}
		p.id, p.hasID = id, true
	case "data":
		if p.hasData {
			p.data = append(p.data, '\n')
		}
		p.data = append(p.data, value...)
		p.hasData = true
	}
	return len(p.data) <= maxEventSize
}

// finish takes an event that has ended; its id must follow the last one's.
func (p *eventParser) endEvent() bool {
	if !p.hasData && !p.hasID {
		return true
	}
	o := p.outcome
	if !p.hasID {
		return false
	}
	if !p.acceptAnyOrder && (o.LastEventID >= 0 && p.id != o.LastEventID+1 || o.LastEventID < 0 && p.id > 1) {
		return false
	}
	o.LastEventID = p.id
	o.Events = append(o.Events, bytes.Clone(p.data))
	p.data = p.data[:0]
	p.hasData, p.hasID = false, false
	return true
}

// toldProgress is how much of a stream was told.
type progressReporter struct {
	reportedAt  time.Time
	count       int
	lastEventID int64
}

// tell tells what came since the last time, unless that is a moment ago.
func (t *progressReporter) report(request *Request, outcome *Outcome) {
	if request.OnProgress == nil || len(outcome.Events) == t.count || time.Since(t.reportedAt) < progressInterval {
		return
	}
	request.OnProgress(t.lastEventID, outcome.LastEventID, outcome.Events[t.count:])
	*t = progressReporter{reportedAt: time.Now(), count: len(outcome.Events), lastEventID: outcome.LastEventID}
}

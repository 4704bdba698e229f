package serverclient

import (
	"bytes"
	"strconv"
)

// maxEventSize bounds the data of an event, and a line, bytes.
const maxEventSize = 1 << 20

// eventParser parses a stream of server-sent events (text/event-stream, WHATWG HTML) into an outcome. It is
// stricter than the standard: each event must have an id, one higher than the last one's, so that a lost or
// repeated event is noticed. The first id of a stream that isn't resumed may be 0 or 1. Events count when
// the empty line after them has come.
type eventParser struct {
	outcome *Outcome
	line    []byte // that has not ended
	data    []byte // of the event that has not ended
	hasData bool
	id      int64
	hasID   bool

	acceptAnyOrder bool // of tests
}

// feed parses bytes. It returns false if an event is malformed or out of order.
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

// atBoundary reports whether no event has begun that has not ended.
func (p *eventParser) atBoundary() bool { return len(p.line) == 0 && !p.hasData && !p.hasID }

// parseLine parses one line. Fields other than id and data are ignored.
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

// endEvent adds the event that has ended to the outcome, if its id follows the last one's.
func (p *eventParser) endEvent() bool {
	if !p.hasData && !p.hasID {
		return true
	}
	if !p.hasID {
		return false
	}
	last := p.outcome.LastEventID
	if !p.acceptAnyOrder && (last >= 0 && p.id != last+1 || last < 0 && p.id > 1) {
		return false
	}
	p.outcome.LastEventID = p.id
	p.outcome.Events = append(p.outcome.Events, bytes.Clone(p.data))
	p.data = p.data[:0]
	p.hasData, p.hasID = false, false
	return true
}

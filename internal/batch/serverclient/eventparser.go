package serverclient

import (
	"bytes"
	"strconv"
)

// maxEventSize bounds the data of an event, and the length of a line, in bytes.
const maxEventSize = 1 << 20

// eventParser parses a stream of server-sent events (text/event-stream, WHATWG HTML) into an outcome. It is
// stricter than the standard: each event must have an id that is one higher than the previous event's, so that a
// lost or repeated event is detected. The first id of a stream that isn't resumed may be 0 or 1. An event counts
// once the empty line after it was received.
type eventParser struct {
	outcome *Outcome
	line    []byte // received part of the current line
	data    []byte // of the current event, as are the next three fields
	hasData bool
	id      int64
	hasID   bool

	acceptAnyOrder bool // set only by tests
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

// atBoundary reports whether the parser is between two events: every event that has begun has also ended.
func (p *eventParser) atBoundary() bool { return len(p.line) == 0 && !p.hasData && !p.hasID }

// parseLine parses one line. Fields other than id and data are ignored. It returns false if the line or the event is
// malformed or out of order.
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

// endEvent adds the current event to the outcome. It returns false if the event has no id, or one that doesn't
// follow the previous event's.
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

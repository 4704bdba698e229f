// Package sse owns the reading of event streams (text/event-stream) as bytes come: where whole events end, and which id the
// last of them has. It must never change a byte, nor give out a part of an event.
package sse

import (
	"bytes"
	"strconv"
)

// MaxEvent is the longest event that is held together, in bytes.
const MaxEventBytes = 1 << 20

// Scanner holds what has come of a stream and was not given out. It belongs to one goroutine.
type Scanner struct {
	buffer      []byte
	complete    int // bytes of the buffer that are whole events
	lineStart   int // where the line begins that is read
	lastID      uint64
	hasLastID   bool // an event with an id has ended
	resumeAfter uint64
	resuming    bool
	gap         bool
	eventStart  int // where the event begins that is read
	eventID     uint64
	hasEventID  bool
}

// NewScanner gives a scanner that reuses a buffer's memory.
func NewScanner(buffer []byte) *Scanner { return &Scanner{buffer: buffer[:0]} }

// Resume prepares for the answer of another run that continues after an event: what is not whole is dropped, and so are events
// up to that one. Gap tells afterwards whether events are missing in between.
func (s *Scanner) Resume(after uint64) {
	*s = Scanner{buffer: s.buffer[:0], resuming: true, resumeAfter: after, lastID: after, hasLastID: true}
}

// Room gives space for what comes next.
func (s *Scanner) Reserve(least int) []byte {
	if cap(s.buffer)-len(s.buffer) < least {
		grown := make([]byte, len(s.buffer), max(2*cap(s.buffer), len(s.buffer)+least))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// Came notes that so many bytes have been put where Room said.
func (s *Scanner) Advance(n int) {
	from := len(s.buffer)
	s.buffer = s.buffer[:from+n]
	for {
		at := bytes.IndexByte(s.buffer[max(from, s.lineStart):], '\n')
		if at < 0 {
			return
		}
		end := max(from, s.lineStart) + at
		line := bytes.TrimSuffix(s.buffer[s.lineStart:end], []byte{'\r'})
		s.lineStart = end + 1
		if len(line) > 0 {
			s.parseField(line)
			continue
		}
		s.endEvent()
		from = s.lineStart
	}
}

func (s *Scanner) parseField(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	s.eventID, s.hasEventID = id, err == nil
}

// endEvent takes a whole event in, or drops one that the run before has given out.
func (s *Scanner) endEvent() {
	repeated := s.resuming && s.hasEventID && s.eventID <= s.resumeAfter
	if repeated {
		rest := copy(s.buffer[s.eventStart:], s.buffer[s.lineStart:])
		s.buffer = s.buffer[:s.eventStart+rest]
		s.lineStart = s.eventStart
	} else {
		if s.resuming && s.hasEventID && s.eventID != s.lastID+1 {
			s.gap = true
		}
		if s.hasEventID {
			s.lastID, s.hasLastID = s.eventID, true
		}
		s.complete, s.eventStart = s.lineStart, s.lineStart
	}
	s.hasEventID = false
}

// Whole gives the whole events that are there. They stay valid until Taken.
func (s *Scanner) Complete() []byte { return s.buffer[:s.complete] }

// Partial gives what follows them.
func (s *Scanner) Partial() []byte { return s.buffer[s.complete:] }

// Taken drops the whole events, which have been given out.
func (s *Scanner) Consume() {
	rest := copy(s.buffer, s.buffer[s.complete:])
	s.buffer = s.buffer[:rest]
	s.lineStart -= s.complete
	s.eventStart -= s.complete
	s.complete = 0
}

// Last gives the id of the last whole event, and whether any had one.
func (s *Scanner) LastID() (id uint64, found bool) { return s.lastID, s.hasLastID }

// Gap tells whether a resumed stream lacks events.
func (s *Scanner) Gap() bool { return s.gap }

// TooLong tells whether an event is longer than any may be.
func (s *Scanner) TooLong() bool { return len(s.buffer)-s.complete > MaxEventBytes }

// Buffer gives the memory back for another scanner.
func (s *Scanner) Buffer() []byte { return s.buffer[:0] }

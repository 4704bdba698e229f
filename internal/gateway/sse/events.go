// Package sse owns the reading of event streams (text/event-stream) as bytes come: where whole events end, and which id the
// last of them has. It must never change a byte, nor give out a part of an event.
package sse

import (
	"bytes"
	"strconv"
)

// MaxEvent is the longest event that is held together, in bytes.
const MaxEvent = 1 << 20

// Scanner holds what has come of a stream and was not given out. It belongs to one goroutine.
type Scanner struct {
	buffer []byte
	whole  int // bytes of the buffer that are whole events
	line   int // where the line begins that is read
	last   uint64
	any    bool // an event with an id has ended
	after  uint64
	resume bool
	gap    bool
	start  int // where the event begins that is read
	id     uint64
	hasID  bool
}

// NewScanner gives a scanner that reuses a buffer's memory.
func NewScanner(buffer []byte) *Scanner { return &Scanner{buffer: buffer[:0]} }

// Resume prepares for the answer of another run that continues after an event: what is not whole is dropped, and so are events
// up to that one. Gap tells afterwards whether events are missing in between.
func (s *Scanner) Resume(after uint64) {
	*s = Scanner{buffer: s.buffer[:0], resume: true, after: after, last: after, any: true}
}

// Room gives space for what comes next.
func (s *Scanner) Room(least int) []byte {
	if cap(s.buffer)-len(s.buffer) < least {
		grown := make([]byte, len(s.buffer), max(2*cap(s.buffer), len(s.buffer)+least))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// Came notes that so many bytes have been put where Room said.
func (s *Scanner) Came(n int) {
	from := len(s.buffer)
	s.buffer = s.buffer[:from+n]
	for {
		at := bytes.IndexByte(s.buffer[max(from, s.line):], '\n')
		if at < 0 {
			return
		}
		end := max(from, s.line) + at
		line := bytes.TrimSuffix(s.buffer[s.line:end], []byte{'\r'})
		s.line = end + 1
		if len(line) > 0 {
			s.field(line)
			continue
		}
		s.endEvent()
		from = s.line
	}
}

func (s *Scanner) field(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	s.id, s.hasID = id, err == nil
}

// endEvent takes a whole event in, or drops one that the run before has given out.
func (s *Scanner) endEvent() {
	repeated := s.resume && s.hasID && s.id <= s.after
	if repeated {
		rest := copy(s.buffer[s.start:], s.buffer[s.line:])
		s.buffer = s.buffer[:s.start+rest]
		s.line = s.start
	} else {
		if s.resume && s.hasID && s.id != s.last+1 {
			s.gap = true
		}
		if s.hasID {
			s.last, s.any = s.id, true
		}
		s.whole, s.start = s.line, s.line
	}
	s.hasID = false
}

// Whole gives the whole events that are there. They stay valid until Taken.
func (s *Scanner) Whole() []byte { return s.buffer[:s.whole] }

// Partial gives what follows them.
func (s *Scanner) Partial() []byte { return s.buffer[s.whole:] }

// Taken drops the whole events, which have been given out.
func (s *Scanner) Taken() {
	rest := copy(s.buffer, s.buffer[s.whole:])
	s.buffer = s.buffer[:rest]
	s.line -= s.whole
	s.start -= s.whole
	s.whole = 0
}

// Last gives the id of the last whole event, and whether any had one.
func (s *Scanner) Last() (id uint64, any bool) { return s.last, s.any }

// Gap tells whether a resumed stream lacks events.
func (s *Scanner) Gap() bool { return s.gap }

// TooLong tells whether an event is longer than any may be.
func (s *Scanner) TooLong() bool { return len(s.buffer)-s.whole > MaxEvent }

// Buffer gives the memory back for another scanner.
func (s *Scanner) Buffer() []byte { return s.buffer[:0] }

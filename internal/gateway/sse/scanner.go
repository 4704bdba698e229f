// Package sse scans event streams (text/event-stream, the server-sent events of the HTML standard) as their
// bytes arrive. It finds the ends of events and the id of the last complete one, so that a proxy can forward
// complete events only, and can resume a stream after its last event.
//
// The bytes of events are never changed. Complete events are forwarded unchanged, including their line ends and
// fields that the scanner doesn't know.
package sse

import (
	"bytes"
	"strconv"
)

// MaxEventBytes is the maximum size of an event.
const MaxEventBytes = 1 << 20

// Scanner holds the part of a stream that has arrived and hasn't been consumed. It isn't safe for concurrent use.
//
// The cycle of use is Reserve, read into the returned slice, Advance, Complete, Consume.
type Scanner struct {
	// buffer holds complete events, then the lines of the event being scanned, then the line being scanned.
	buffer     []byte
	complete   int // length of the complete events
	eventStart int // where the event being scanned begins
	lineStart  int // where the line being scanned begins

	eventID    uint64 // of the event being scanned
	hasEventID bool
	lastID     uint64 // id of the last complete event that has one
	hasLastID  bool

	resuming    bool
	resumeAfter uint64 // events up to this id are dropped while resuming
	gap         bool
}

// NewScanner returns a scanner for the beginning of a stream, which uses the memory of a buffer.
func NewScanner(buffer []byte) *Scanner { return &Scanner{buffer: buffer[:0]} }

// Resume prepares the scanner for another server's stream that continues after the event with the id after. The
// incomplete event at the end of the previous stream is dropped. Events of the new stream with ids up to after
// are dropped too, as they have been forwarded already. Gap reports whether events after that one are missing.
func (s *Scanner) Resume(after uint64) {
	*s = Scanner{buffer: s.buffer[:0], resuming: true, resumeAfter: after, lastID: after, hasLastID: true}
}

// Reserve returns free space of at least the given number of bytes, for the next part of the stream.
func (s *Scanner) Reserve(least int) []byte {
	if cap(s.buffer)-len(s.buffer) < least {
		grown := make([]byte, len(s.buffer), max(2*cap(s.buffer), len(s.buffer)+least))
		copy(grown, s.buffer)
		s.buffer = grown
	}
	return s.buffer[len(s.buffer):cap(s.buffer)]
}

// Advance scans n bytes that have been read into the slice that Reserve returned.
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

// parseField parses a line's field if it is an id. An id that isn't a number counts as none.
func (s *Scanner) parseField(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	s.eventID, s.hasEventID = id, err == nil
}

// endEvent completes the event being scanned, or drops it if the previous stream contained it.
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

// Complete returns the complete events. The slice is valid until Consume or Reserve is called.
func (s *Scanner) Complete() []byte { return s.buffer[:s.complete] }

// Partial returns the bytes after the complete events.
func (s *Scanner) Partial() []byte { return s.buffer[s.complete:] }

// Consume drops the complete events.
func (s *Scanner) Consume() {
	rest := copy(s.buffer, s.buffer[s.complete:])
	s.buffer = s.buffer[:rest]
	s.lineStart -= s.complete
	s.eventStart -= s.complete
	s.complete = 0
}

// LastID returns the id of the last complete event that has one, and whether there is such an event.
func (s *Scanner) LastID() (id uint64, found bool) { return s.lastID, s.hasLastID }

// Gap reports whether events are missing from a resumed stream.
func (s *Scanner) Gap() bool { return s.gap }

// TooLong reports whether the incomplete event exceeds MaxEventBytes.
func (s *Scanner) TooLong() bool { return len(s.buffer)-s.complete > MaxEventBytes }

// Buffer returns the buffer's memory for use by another scanner. This scanner must not be used afterwards.
func (s *Scanner) Buffer() []byte { return s.buffer[:0] }

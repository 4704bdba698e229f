// Package discovery owns the platform's list of servers: who of the control processes reads it and when, and the reading. One
// control process reads for all, as each call has a price and the platform's rate is shared; the others take over when they have
// had no list for a while, without asking anyone, so that a cut core keeps reading. It must never hand on a list that was read
// in part.
//
// At the size of thousands of servers a zone's control process would read its own zone (`zone` in the query), and lists would go
// as the differences between two versions; Reader takes a zone already, and List is numbered by its content, so that differences
// can name what they apply to.
package discovery

import "time"

// The times of reading.
const (
	readInterval    = 800 * time.Millisecond  // by the control process that reads for all
	takeoverTimeout = 1600 * time.Millisecond // without a list, before another reads
	takeoverStagger = 400 * time.Millisecond  // more for each rank
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 800 * time.Millisecond
)

// Schedule decides when this process reads. It is pure; times are since the process's start, by the steady clock. It isn't safe
// for concurrent use.
type Schedule struct {
	rank         int
	hasList      bool          // a list was had
	lastReadAt   time.Duration // when the newest list was read, by whom ever
	readHere     bool          // it was read here
	readDuration time.Duration // to read it
	failures     int
	retryAt      time.Duration
}

// Rank sets the process's place among the control processes; 0 reads for all.
func (s *Schedule) SetRank(rank int) { s.rank = rank }

// Next gives when to read, unless something comes in before.
func (s *Schedule) NextRead() time.Duration {
	return max(s.due(), s.retryAt)
}

func (s *Schedule) due() time.Duration {
	switch {
	case s.rank == 0 || s.readHere:
		if !s.hasList {
			return 0
		}
		return s.lastReadAt + readInterval
	case !s.hasList: // at the start of the system, the first by rank is just about to read
		return time.Duration(s.rank) * takeoverStagger
	}
	return s.lastReadAt + s.readDuration + takeoverTimeout + time.Duration(s.rank)*takeoverStagger
}

// Read notes that a list was read here, beginning at a time.
func (s *Schedule) ReadSucceeded(began, took time.Duration) {
	s.hasList, s.readHere, s.readDuration = true, true, took
	s.lastReadAt = max(s.lastReadAt, began)
	s.failures, s.retryAt = 0, 0
}

// Failed notes that reading failed. A platform that refuses for the rate of calls may ask for more patience.
func (s *Schedule) ReadFailed(now, retryAfter time.Duration) {
	pause := min(minRetryDelay<<min(s.failures, 8), maxRetryDelay)
	s.failures++
	s.retryAt = now + max(pause, min(retryAfter, maxRetryDelay))
}

// Received notes that a control process with a rank told a list that it began to read at a time. One that goes before makes this process
// stop reading.
func (s *Schedule) ListReceived(at, took time.Duration, rank int) {
	if s.hasList && at <= s.lastReadAt {
		return
	}
	s.hasList, s.lastReadAt, s.readDuration = true, at, max(took, 0)
	if rank < s.rank {
		s.readHere = false
	}
}

// Took gives how long the newest list took to read.
func (s *Schedule) ReadDuration() time.Duration { return s.readDuration }

package discovery

import "time"

// Intervals and delays of reading the list.
const (
	readInterval    = 800 * time.Millisecond  // between reads of the process that reads for all
	takeoverTimeout = 1600 * time.Millisecond // time without a list after which another process takes over
	takeoverStagger = 400 * time.Millisecond  // added to takeoverTimeout for each rank
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 800 * time.Millisecond
)

// Schedule decides when this process reads the list. It reads no clock: times are durations since the process's
// start by the monotonic clock. It isn't safe for concurrent use.
type Schedule struct {
	rank       int
	hasList    bool          // this or another control process has read a list
	lastReadAt time.Duration // when the read of the newest list began, on whichever control process
	// This process reads for all: it has read a list, and has received none from a process of lower rank since.
	readHere     bool
	readDuration time.Duration // how long the newest list took to read
	failures     int           // of this process since its last successful read
	retryAt      time.Duration // no attempt before this
}

// SetRank sets this process's rank among the control processes. The process of rank 0 reads for all; the others
// take over in order of rank.
func (s *Schedule) SetRank(rank int) { s.rank = rank }

// NextRead returns the time of the next read, unless a list is received before that.
func (s *Schedule) NextRead() time.Duration {
	return max(s.due(), s.retryAt)
}

// due returns when the next read is due, regardless of failed attempts.
func (s *Schedule) due() time.Duration {
	switch {
	case s.rank == 0 || s.readHere:
		if !s.hasList {
			return 0
		}
		return s.lastReadAt + readInterval
	case !s.hasList: // at the start of the system the process of rank 0 is about to read
		return time.Duration(s.rank) * takeoverStagger
	}
	return s.lastReadAt + s.readDuration + takeoverTimeout + time.Duration(s.rank)*takeoverStagger
}

// ReadSucceeded records that this process has read the list. The read began at began and lasted for took.
func (s *Schedule) ReadSucceeded(began, took time.Duration) {
	s.hasList, s.readHere, s.readDuration = true, true, took
	s.lastReadAt = max(s.lastReadAt, began)
	s.failures, s.retryAt = 0, 0
}

// ReadFailed records a failed attempt. The delay before the next attempt doubles from minRetryDelay up to
// maxRetryDelay. retryAfter is the delay that the platform asked for; it may raise the delay, up to maxRetryDelay.
func (s *Schedule) ReadFailed(now, retryAfter time.Duration) {
	delay := min(minRetryDelay<<min(s.failures, 8), maxRetryDelay)
	s.failures++
	s.retryAt = now + max(delay, min(retryAfter, maxRetryDelay))
}

// ListReceived records a list of another control process, which began to read it at the time at and needed the
// time took. If that process has a lower rank, this process stops reading for all.
func (s *Schedule) ListReceived(at, took time.Duration, rank int) {
	if s.hasList && at <= s.lastReadAt {
		return
	}
	s.hasList, s.lastReadAt, s.readDuration = true, at, max(took, 0)
	if rank < s.rank {
		s.readHere = false
	}
}

// ReadDuration returns how long the newest list took to read.
func (s *Schedule) ReadDuration() time.Duration { return s.readDuration }

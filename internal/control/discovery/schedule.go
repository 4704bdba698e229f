package discovery

import "time"

// Times of reading.
const (
	readInterval    = 800 * time.Millisecond  // between readings of the process that reads for all
	takeoverTimeout = 1600 * time.Millisecond // without a list, after which another process takes over
	takeoverStagger = 400 * time.Millisecond  // added to that for each rank
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 800 * time.Millisecond
)

// Schedule decides when this process reads the list. It is pure: times are durations since the process's
// start by the monotonic clock. It isn't safe for concurrent use.
type Schedule struct {
	rank       int
	hasList    bool          // some control process has read a list
	lastReadAt time.Duration // when the reading of the newest list began, wherever that was
	// This process reads for all: it has read a list, and received none of a lower rank since.
	readHere     bool
	readDuration time.Duration // of the newest list
	failures     int           // since the last success here
	retryAt      time.Duration // no attempt before this
}

// SetRank sets this process's rank among the control processes. The one of rank 0 reads for all; the others
// take over in the order of their ranks.
func (s *Schedule) SetRank(rank int) { s.rank = rank }

// NextRead returns when to read next, unless a list is received before.
func (s *Schedule) NextRead() time.Duration {
	return max(s.due(), s.retryAt)
}

// due returns when the next reading is due, without regard to failed attempts.
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

// ReadSucceeded records that this process has read the list, from began on.
func (s *Schedule) ReadSucceeded(began, took time.Duration) {
	s.hasList, s.readHere, s.readDuration = true, true, took
	s.lastReadAt = max(s.lastReadAt, began)
	s.failures, s.retryAt = 0, 0
}

// ReadFailed records a failed attempt. The delay before the next one doubles from minRetryDelay to
// maxRetryDelay; retryAfter is what the platform asked for, and may raise it to maxRetryDelay.
func (s *Schedule) ReadFailed(now, retryAfter time.Duration) {
	delay := min(minRetryDelay<<min(s.failures, 8), maxRetryDelay)
	s.failures++
	s.retryAt = now + max(delay, min(retryAfter, maxRetryDelay))
}

// ListReceived records a list that another control process read from a time on. If that process has a lower
// rank, this one stops to read for all.
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

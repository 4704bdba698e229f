package subscription

import (
	"sync/atomic"
	"time"
)

// LeaseMargin is taken off a lease: what lies between the last look at it and the first byte at the server.
const KeyLeaseMargin = 400 * time.Millisecond

// Lease is the right to act on keys that the configuration holds. It counts from when the poll was sent that a control process
// vouched for, by this process's steady clock. It is safe for concurrent use.
type KeyLease struct {
	failClosed bool
	term       time.Duration
	origin     time.Time
	expiry     atomic.Int64 // nanoseconds after origin
}

// NewLease gives a lease that has not begun. Where closed is false keys don't end by lease, and it always holds.
func NewKeyLease(closed bool, revoke time.Duration, now time.Time) *KeyLease {
	return &KeyLease{failClosed: closed, term: revoke - KeyLeaseMargin, origin: now}
}

// Renew takes in that control vouched, for all that was acknowledged longer than age ago, in the answer to a poll.
func (l *KeyLease) Renew(sent time.Time, age time.Duration) {
	until := int64(sent.Sub(l.origin) - max(age, 0) + l.term)
	for {
		old := l.expiry.Load()
		if until <= old || l.expiry.CompareAndSwap(old, until) {
			return
		}
	}
}

// Holds tells whether a first byte may go to a server now.
func (l *KeyLease) Valid(now time.Time) bool {
	return !l.failClosed || int64(now.Sub(l.origin)) < l.expiry.Load()
}

package subscription

import (
	"sync/atomic"
	"time"
)

// KeyLeaseMargin is subtracted from a lease's term. It covers the time between the last check of the lease
// and the first byte at the server, and the drift of the clocks over the term.
const KeyLeaseMargin = 400 * time.Millisecond

// KeyLease permits the process to serve requests by the API keys of the configuration in force. Control confirms
// the configuration in the answer to a poll; the lease is then valid for a term from the time at which the poll
// was sent, by this process's monotonic clock. So no key is accepted later than the revocation time after the
// acknowledgement of the configuration that removed it. It is safe for concurrent use.
type KeyLease struct {
	failClosed bool // if false, the lease is always valid
	term       time.Duration
	origin     time.Time
	expiry     atomic.Int64 // nanoseconds after origin; never decreases
}

// NewKeyLease returns a lease that is not valid yet, or one that is always valid if closed is false. revoke
// is the revocation time, within which a removed key must stop working.
func NewKeyLease(closed bool, revoke time.Duration, now time.Time) *KeyLease {
	return &KeyLease{failClosed: closed, term: revoke - KeyLeaseMargin, origin: now}
}

// Renew extends the lease after control has confirmed, in the answer to a poll sent at the time sent, that its
// state is at most age old. The lease is never shortened.
func (l *KeyLease) Renew(sent time.Time, age time.Duration) {
	until := int64(sent.Sub(l.origin) - max(age, 0) + l.term)
	for {
		old := l.expiry.Load()
		if until <= old || l.expiry.CompareAndSwap(old, until) {
			return
		}
	}
}

// Valid reports whether a request with an API key may be sent to a server now.
func (l *KeyLease) Valid(now time.Time) bool {
	return !l.failClosed || int64(now.Sub(l.origin)) < l.expiry.Load()
}

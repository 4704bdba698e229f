package lease

import "time"

// Holder is one holder's side of one lease. It isn't safe for concurrent use.
type Holder struct {
	margin       time.Duration // the right is given up this much before its end
	grant        Grant
	expires      time.Duration
	held         bool
	relinquished Token // given back; answers that are still on their way don't bring it back
}

// NewHolder returns the side of a holder that stops this much before its lease ends.
func NewHolder(margin time.Duration) *Holder { return &Holder{margin: margin} }

// Granted takes in an answer. asked is the moment at which the question was sent: the duration
// counts from there, however long the answer took. An answer that came late never shortens the lease.
func (h *Holder) OnGrant(asked time.Duration, grant Grant) {
	ends := asked + grant.Duration - h.margin
	if grant.Token <= h.relinquished || h.held && grant.Token < h.grant.Token {
		return
	}
	if !h.held || grant.Token > h.grant.Token || ends > h.expires {
		h.grant, h.expires, h.held = grant, ends, true
	}
}

// Valid returns the token to act under, if the lease stands. It is asked right before each act.
func (h *Holder) Valid(now time.Duration) (Token, bool) {
	if !h.held || now >= h.expires {
		return 0, false
	}
	return h.grant.Token, true
}

// Ends returns when the right ends, by this holder's clock.
func (h *Holder) Expiry() (time.Duration, bool) { return h.expires, h.held }

// Give stops the use of the lease and returns its grant, to be released at the granter.
func (h *Holder) Relinquish() (Grant, bool) {
	if !h.held {
		return Grant{}, false
	}
	h.held = false
	h.relinquished = h.grant.Token
	return h.grant, true
}

// Fence stands where a lease's holder acts, and refuses those whose time has passed.
type Fence struct{ highest Token }

// Admit reports whether an act under a token may go on.
func (f *Fence) Admit(token Token) bool {
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}

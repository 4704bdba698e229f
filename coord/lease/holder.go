package lease

import "time"

// Holder is one holder's side of one lease. It isn't safe for concurrent use.
type Holder struct {
	margin       time.Duration // the right counts as ended this much before its end
	grant        Grant
	expires      time.Duration // by the holder's clock, less margin
	held         bool
	relinquished Token // highest token given back: a late answer doesn't bring it back
}

// NewHolder returns a holder without a lease. It treats a lease as ended a margin before its end, which
// leaves time for an act that has begun; zero is safe where the resource has a Fence.
func NewHolder(margin time.Duration) *Holder { return &Holder{margin: margin} }

// OnGrant takes in the granter's answer to Acquire or Renew. requestedAt is the moment at which the request
// was sent: the duration counts from there, however long the answer took. An answer that is older than what
// is known is ignored, and none shortens the lease under its token.
func (h *Holder) OnGrant(requestedAt time.Duration, grant Grant) {
	expires := requestedAt + grant.Duration - h.margin
	if grant.Token <= h.relinquished || h.held && grant.Token < h.grant.Token {
		return
	}
	if !h.held || grant.Token > h.grant.Token || expires > h.expires {
		h.grant, h.expires, h.held = grant, expires, true
	}
}

// Valid returns the token to act under if the lease hasn't ended. Ask it right before each act.
func (h *Holder) Valid(now time.Duration) (Token, bool) {
	if !h.held || now >= h.expires {
		return 0, false
	}
	return h.grant.Token, true
}

// Expiry returns when the right ends by this holder's clock, or ended, and false if there is no lease.
func (h *Holder) Expiry() (time.Duration, bool) { return h.expires, h.held }

// Relinquish stops the use of the lease and returns its grant, to be passed to Granter.Release; false if
// there is none.
func (h *Holder) Relinquish() (Grant, bool) {
	if !h.held {
		return Grant{}, false
	}
	h.held = false
	h.relinquished = h.grant.Token
	return h.grant, true
}

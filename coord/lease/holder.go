package lease

import "time"

// Holder is one holder's side of one lease. It isn't safe for concurrent use.
type Holder struct {
	margin       time.Duration // how long before its end the lease is treated as ended
	grant        Grant
	expires      time.Duration // end of the lease by the holder's clock, less margin
	held         bool
	relinquished Token // highest relinquished token; late answers up to it are ignored
}

// NewHolder returns a holder without a lease. It treats a lease as ended a margin before its actual end, which
// leaves time to finish an operation that has begun. A margin of zero is safe if the resource has a Fence.
func NewHolder(margin time.Duration) *Holder { return &Holder{margin: margin} }

// OnGrant handles the granter's answer to Acquire or Renew. requestedAt is the time at which the request was
// sent: the duration counts from there, however long the answer took. OnGrant ignores a grant whose token is
// lower than the current grant's, or not higher than the last relinquished token. A grant with the current token
// never shortens the lease.
func (h *Holder) OnGrant(requestedAt time.Duration, grant Grant) {
	expires := requestedAt + grant.Duration - h.margin
	if grant.Token <= h.relinquished || h.held && grant.Token < h.grant.Token {
		return
	}
	if !h.held || grant.Token > h.grant.Token || expires > h.expires {
		h.grant, h.expires, h.held = grant, expires, true
	}
}

// Valid returns the token of the lease if the lease hasn't ended, and false otherwise. Call it directly before
// each operation that the lease protects, and send the token along.
func (h *Holder) Valid(now time.Duration) (Token, bool) {
	if !h.held || now >= h.expires {
		return 0, false
	}
	return h.grant.Token, true
}

// Expiry returns the time by the holder's clock, less the margin, at which the lease ends or has ended. It
// returns false if there is no lease.
func (h *Holder) Expiry() (time.Duration, bool) { return h.expires, h.held }

// Relinquish stops the use of the lease and returns its grant, to be passed to Granter.Release. It returns false
// if there is no lease.
func (h *Holder) Relinquish() (Grant, bool) {
	if !h.held {
		return Grant{}, false
	}
	h.held = false
	h.relinquished = h.grant.Token
	return h.grant, true
}

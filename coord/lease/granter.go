package lease

import (
	"errors"
	"time"
)

// Errors returned by a Granter, to be compared with errors.Is.
var (
	// ErrHeld means that the lease of another holder may not have ended yet.
	ErrHeld = errors.New("lease: held by another")
	// ErrGracePeriod means that leases of an earlier granter may not have ended yet.
	ErrGracePeriod = errors.New("lease: leases of an earlier granter may not have ended")
	// ErrStaleToken means that the token isn't that of the holder's current lease of the resource.
	ErrStaleToken = errors.New("lease: token is not current")
	// ErrDurationOutOfRange means that a duration isn't positive, or exceeds GranterOptions.MaxDuration.
	ErrDurationOutOfRange = errors.New("lease: duration out of range")
)

// Grant is a holder's right to a resource. The holder counts Duration from the time at which it sent its request.
type Grant struct {
	Resource string
	Holder   string
	Token    Token
	Duration time.Duration
}

// GranterOptions configures a Granter.
type GranterOptions struct {
	// Epoch must be higher than that of any earlier granter. It must fit into 32 bits.
	Epoch uint64
	// MaxDuration is the longest duration that any granter of the system grants or has granted. A longer maximum
	// lets holders renew less often. A resource stays unavailable for up to the same time after its holder
	// failed, and so does the granter after a failover.
	MaxDuration time.Duration
	// DriftAllowance is added to a lease's duration before the resource may go to another holder. It must be
	// at least the amount by which the clocks of granter and holder can drift apart during MaxDuration.
	DriftAllowance time.Duration
}

// record is the granter's record of one lease.
type record struct {
	grant   Grant
	expires time.Duration // time of the granter's clock by which the holder's right has ended
}

// Granter gives each resource to one holder at a time. It isn't safe for concurrent use.
type Granter struct {
	options   GranterOptions
	graceEnds time.Duration // time by which all leases of earlier granters have ended
	grants    uint32        // number of tokens issued
	leases    map[string]record
}

// NewGranter returns a granter that takes over from an earlier one. It rejects requests with ErrGracePeriod
// until all leases of earlier granters must have ended.
func NewGranter(now time.Duration, options GranterOptions) *Granter {
	return &Granter{
		options:   options,
		graceEnds: now + options.MaxDuration + options.DriftAllowance,
		leases:    make(map[string]record),
	}
}

// NewFirstGranter returns the first granter of a system, which needs no grace period. It is unsafe if any
// lease was granted before.
func NewFirstGranter(options GranterOptions) *Granter {
	return &Granter{options: options, leases: make(map[string]record)}
}

// Acquire grants a resource under a new token. The current holder may acquire the resource again, which
// invalidates its earlier token. Acquire returns ErrDurationOutOfRange, ErrGracePeriod or ErrHeld if it fails.
func (g *Granter) Acquire(now time.Duration, resource, holder string, duration time.Duration) (Grant, error) {
	if duration <= 0 || duration > g.options.MaxDuration {
		return Grant{}, ErrDurationOutOfRange
	}
	if now < g.graceEnds {
		return Grant{}, ErrGracePeriod
	}
	if held, ok := g.leases[resource]; ok && held.grant.Holder != holder && now < held.expires {
		return Grant{}, ErrHeld
	}
	g.grants++
	grant := Grant{
		Resource: resource,
		Holder:   holder,
		Token:    Token(g.options.Epoch<<epochShift | uint64(g.grants)),
		Duration: duration,
	}
	g.extend(now, grant)
	return grant, nil
}

// Renew extends a lease that hasn't ended to grant.Duration from now, under the same token. It returns
// ErrDurationOutOfRange or ErrStaleToken if it fails.
func (g *Granter) Renew(now time.Duration, grant Grant) (Grant, error) {
	if grant.Duration <= 0 || grant.Duration > g.options.MaxDuration {
		return Grant{}, ErrDurationOutOfRange
	}
	held, ok := g.leases[grant.Resource]
	if !ok || held.grant.Holder != grant.Holder || held.grant.Token != grant.Token || now >= held.expires {
		return Grant{}, ErrStaleToken
	}
	g.extend(now, grant)
	return grant, nil
}

// extend records a lease. It never shortens the recorded lease of the same holder, because the holder may rely on
// an earlier answer that granted it longer.
func (g *Granter) extend(now time.Duration, grant Grant) {
	expires := now + grant.Duration + g.options.DriftAllowance
	if held, ok := g.leases[grant.Resource]; ok && held.grant.Holder == grant.Holder {
		expires = max(expires, held.expires)
	}
	g.leases[grant.Resource] = record{grant: grant, expires: expires}
}

// Release ends a lease at once. The holder must have stopped using it (Holder.Relinquish). Release returns
// ErrStaleToken if the grant isn't the current one.
func (g *Granter) Release(grant Grant) error {
	held, ok := g.leases[grant.Resource]
	if !ok || held.grant.Holder != grant.Holder || held.grant.Token != grant.Token {
		return ErrStaleToken
	}
	delete(g.leases, grant.Resource)
	return nil
}

// Expire removes the leases that have ended and returns their grants, in no particular order.
func (g *Granter) Expire(now time.Duration) []Grant {
	var expired []Grant
	for resource, held := range g.leases {
		if now >= held.expires {
			expired = append(expired, held.grant)
			delete(g.leases, resource)
		}
	}
	return expired
}

// Outstanding returns the number of leases that have neither been released nor removed by Expire.
func (g *Granter) Outstanding() int { return len(g.leases) }

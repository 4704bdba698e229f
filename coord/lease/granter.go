package lease

import (
	"errors"
	"time"
)

// Errors of a Granter.
var (
	// ErrHeld says that another holder's lease may still stand.
	ErrHeld = errors.New("lease: held by another")
	// ErrWarmingUp says that grants of an earlier granter may still stand.
	ErrGracePeriod = errors.New("lease: an earlier granter's leases may still stand")
	// ErrStale says that the token isn't that of a standing lease of this holder.
	ErrStaleToken = errors.New("lease: token is not current")
	// ErrDuration says that a duration isn't within the granter's limit.
	ErrDurationOutOfRange = errors.New("lease: duration out of range")
)

// Token fences: a higher one is of a later grant.
type Token uint64

// epochShift places the granter's epoch above its count of grants.
const epochShift = 32

// Epoch returns the epoch of the granter that drew the token.
func (t Token) Epoch() uint64 { return uint64(t >> epochShift) }

// Grant is a right of a holder for a duration, counted by the holder from its question on.
type Grant struct {
	Resource string
	Holder   string
	Token    Token
	Duration time.Duration
}

// GranterOptions adjust a Granter.
type GranterOptions struct {
	// Epoch must be higher than that of any granter before.
	Epoch uint64
	// Longest is the longest duration that is or was granted in the system.
	MaxDuration time.Duration
	// Guard is how much longer than its duration a lease counts as standing here, for clocks that
	// don't run alike.
	DriftAllowance time.Duration
}

// standing is a lease as its granter knows it.
type record struct {
	grant   Grant
	expires time.Duration // it may stand until then
}

// Granter gives each resource to one holder at a time. It isn't safe for concurrent use.
type Granter struct {
	options   GranterOptions
	graceEnds time.Duration // grants of earlier granters may stand until then
	grants    uint32
	leases    map[string]record
}

// NewGranter returns a granter that refuses until the leases of an earlier one have surely ended.
func NewGranter(now time.Duration, options GranterOptions) *Granter {
	return &Granter{
		options:   options,
		graceEnds: now + options.MaxDuration + options.DriftAllowance,
		leases:    make(map[string]record),
	}
}

// NewFirstGranter returns a granter that had none before it.
func NewFirstGranter(options GranterOptions) *Granter {
	return &Granter{options: options, leases: make(map[string]record)}
}

// Acquire grants a resource, or lengthens the lease of its present holder under a new token.
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

// Renew lengthens a standing lease and keeps its token.
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

// keep notes a lease; a shorter one never takes back what was given before.
func (g *Granter) extend(now time.Duration, grant Grant) {
	ends := now + grant.Duration + g.options.DriftAllowance
	if held, ok := g.leases[grant.Resource]; ok && held.grant.Holder == grant.Holder {
		ends = max(ends, held.expires)
	}
	g.leases[grant.Resource] = record{grant: grant, expires: ends}
}

// Release ends a lease whose holder has stopped to use it.
func (g *Granter) Release(grant Grant) error {
	held, ok := g.leases[grant.Resource]
	if !ok || held.grant.Holder != grant.Holder || held.grant.Token != grant.Token {
		return ErrStaleToken
	}
	delete(g.leases, grant.Resource)
	return nil
}

// Expire forgets the leases that have surely ended and returns their grants.
func (g *Granter) Expire(now time.Duration) []Grant {
	var ended []Grant
	for resource, held := range g.leases {
		if now >= held.expires {
			ended = append(ended, held.grant)
			delete(g.leases, resource)
		}
	}
	return ended
}

// Standing returns the number of leases that may still stand.
func (g *Granter) Outstanding() int { return len(g.leases) }

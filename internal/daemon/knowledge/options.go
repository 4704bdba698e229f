package knowledge

import (
	"cmp"
	"time"
)

// Options are the parameters of a Table. A zero value is replaced by the default.
type Options struct {
	Self Observer // this gateway

	// Half-lives of the weight of a fact's parts. A stalled member hangs for 8 to 25 s, so a report on a stall is valid
	// for seconds (default 4 s). Latency and room depend on the machine and its other load, and stay valid for minutes
	// (default 1 min). Attempts sent to a warming member count for the window of the slow-start limit (default 0.5 s).
	StallHalfLife, PaceHalfLife, ColdHalfLife time.Duration
	// DeafHalfLife is the half-life of trust in an observer by the time since it last received an update of discovery.
	// Default: 30 s.
	DeafHalfLife time.Duration
	// BlindHalfLife is the half-life of trust in an observer's unhealthy members by the time since any member last
	// answered it. Default: 0.5 s.
	BlindHalfLife time.Duration

	// MaxAge is the age at which facts are dropped. Default: 2 min.
	MaxAge time.Duration
	// MaxHops is how many gateways a fact may be forwarded by. Default: 3.
	MaxHops int
	// MaxMembers and MaxObservers bound the memory. Defaults: 10,000 and 64.
	MaxMembers, MaxObservers int

	// MaxSuspectShare is the fraction of the members that may be suspects. Default: 1/3.
	MaxSuspectShare float64
	// FaultyShare is the fraction of members found unhealthy from which on an observer is assumed to be faulty itself.
	// Default: 1/2.
	FaultyShare float64
	// OwnEvidenceTTL is how long an answer that this gateway received, or an overdue attempt of its own, overrules
	// the peers. Default: 10 s.
	OwnEvidenceTTL time.Duration
	// MaxRoom is the highest room that a prior may have, in attempts. Default: 16.
	MaxRoom float64
	// PriorEchoTime is how long after a prior was given this gateway reports no latency and room of the member: until
	// then its estimate contains the peers' reports. Default: 15 s.
	PriorEchoTime time.Duration
}

// setDefault sets x unless it is positive.
func setDefault[T cmp.Ordered](x *T, value T) {
	var zero T
	if *x <= zero {
		*x = value
	}
}

// defaults sets all options that are not positive.
func (o *Options) defaults() {
	setDefault(&o.StallHalfLife, 4*time.Second)
	setDefault(&o.PaceHalfLife, time.Minute)
	setDefault(&o.ColdHalfLife, 500*time.Millisecond)
	setDefault(&o.DeafHalfLife, 30*time.Second)
	setDefault(&o.BlindHalfLife, 500*time.Millisecond)
	setDefault(&o.MaxAge, 2*time.Minute)
	setDefault(&o.MaxHops, 3)
	setDefault(&o.MaxMembers, 10000)
	setDefault(&o.MaxObservers, 64)
	setDefault(&o.MaxSuspectShare, 1.0/3)
	setDefault(&o.FaultyShare, 0.5)
	setDefault(&o.OwnEvidenceTTL, 10*time.Second)
	setDefault(&o.MaxRoom, 16)
	setDefault(&o.PriorEchoTime, 15*time.Second)
}

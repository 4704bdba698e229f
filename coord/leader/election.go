package leader

import "time"

// Claim is what a source says of this node's leadership.
type LeaderLease struct {
	Epoch   uint64
	Expires time.Duration // on the steady clock
	Held    bool
}

// Change is what an Election asks its carrier to do.
type Action int

// The changes.
const (
	NoAction  Action = iota
	StartRole        // run the role under the new term
	StopRole         // end the role: its term is over
)

// Election turns claims into the starts and stops of a role. It isn't safe for concurrent use.
type Election struct {
	margin   time.Duration
	epoch    uint64
	expires  time.Duration
	running  bool
	resigned bool
}

// NewElection returns an election whose terms end this much before their claims.
func NewElection(margin time.Duration) *Election { return &Election{margin: margin} }

// Observe takes in a claim. A role that runs under an epoch that has passed is stopped first; the
// next call starts it under the new one.
func (e *Election) Observe(now time.Duration, claim LeaderLease) Action {
	stands := claim.Held && !e.resigned && now < claim.Expires-e.margin
	if e.running {
		if stands && claim.Epoch == e.epoch {
			e.expires = max(e.expires, claim.Expires-e.margin)
			return NoAction
		}
		if !stands && now < e.expires && !e.resigned {
			return NoAction
		}
		e.running = false
		return StopRole
	}
	if !stands {
		return NoAction
	}
	e.epoch, e.expires, e.running = claim.Epoch, claim.Expires-e.margin, true
	return StartRole
}

// Resign has the role stopped and not started again until Stand.
func (e *Election) Resign() Action {
	e.resigned = true
	if !e.running {
		return NoAction
	}
	e.running = false
	return StopRole
}

// Stand allows the role to start again.
func (e *Election) Campaign() { e.resigned = false }

// Valid reports whether the term of an epoch stands.
func (e *Election) Valid(now time.Duration, epoch uint64) bool {
	return e.running && e.epoch == epoch && now < e.expires
}

// Term returns the epoch and the end of the present term.
func (e *Election) Term() (epoch uint64, until time.Duration, ok bool) {
	return e.epoch, e.expires, e.running
}

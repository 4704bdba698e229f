package leader

import "time"

// Claim is what a source says of this node's leadership.
type Claim struct {
	Epoch uint64
	Until time.Duration // on the steady clock
	Leads bool
}

// Change is what an Election asks its carrier to do.
type Change int

// The changes.
const (
	Stay  Change = iota
	Start        // run the role under the new term
	Stop         // end the role: its term is over
)

// Election turns claims into the starts and stops of a role. It isn't safe for concurrent use.
type Election struct {
	margin   time.Duration
	epoch    uint64
	until    time.Duration
	running  bool
	resigned bool
}

// NewElection returns an election whose terms end this much before their claims.
func NewElection(margin time.Duration) *Election { return &Election{margin: margin} }

// Observe takes in a claim. A role that runs under an epoch that has passed is stopped first; the
// next call starts it under the new one.
func (e *Election) Observe(now time.Duration, claim Claim) Change {
	stands := claim.Leads && !e.resigned && now < claim.Until-e.margin
	if e.running {
		if stands && claim.Epoch == e.epoch {
			e.until = max(e.until, claim.Until-e.margin)
			return Stay
		}
		if !stands && now < e.until && !e.resigned {
			return Stay
		}
		e.running = false
		return Stop
	}
	if !stands {
		return Stay
	}
	e.epoch, e.until, e.running = claim.Epoch, claim.Until-e.margin, true
	return Start
}

// Resign has the role stopped and not started again until Stand.
func (e *Election) Resign() Change {
	e.resigned = true
	if !e.running {
		return Stay
	}
	e.running = false
	return Stop
}

// Stand allows the role to start again.
func (e *Election) Stand() { e.resigned = false }

// Valid reports whether the term of an epoch stands.
func (e *Election) Valid(now time.Duration, epoch uint64) bool {
	return e.running && e.epoch == epoch && now < e.until
}

// Term returns the epoch and the end of the present term.
func (e *Election) Term() (epoch uint64, until time.Duration, ok bool) {
	return e.epoch, e.until, e.running
}

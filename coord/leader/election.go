package leader

import "time"

// Lease is a Source's answer about this node's leadership: its leader lease, if it holds one.
type Lease struct {
	Epoch   uint64        // of the leadership; it rises from leader to leader
	Expires time.Duration // by the monotonic clock that Election's callers use
	Held    bool          // this node is the leader; if false the other fields mean nothing
}

// Action is what an Election asks its carrier to do.
type Action int

// The actions.
const (
	NoAction  Action = iota
	StartRole        // run the role in the new term
	StopRole         // cancel the role: its term is over
)

// Election turns leader leases into the starts and stops of a role. It is pure: all times are passed in, as
// durations since any fixed moment. It isn't safe for concurrent use.
type Election struct {
	margin   time.Duration
	epoch    uint64
	expires  time.Duration // end of the term, margin deducted
	running  bool          // the role was started in epoch and not stopped
	resigned bool          // it must not start
}

// NewElection returns an election whose terms end a margin before their leases. The margin is the time that
// an act may take after a look at Term.Valid; a longer one shortens each term.
func NewElection(margin time.Duration) *Election { return &Election{margin: margin} }

// Observe takes in the source's lease and returns what follows.
//
// A term lasts to the end of the latest lease of its epoch, also when the source doesn't hold it any more:
// until then no other node acts. A lease of another epoch ends the term at once, and the next call starts the
// role in the new epoch, so that two terms never overlap.
func (e *Election) Observe(now time.Duration, lease Lease) Action {
	leads := lease.Held && !e.resigned && now < lease.Expires-e.margin
	if e.running {
		if leads && lease.Epoch == e.epoch {
			// A lease that was read earlier may come later: the end never moves back.
			e.expires = max(e.expires, lease.Expires-e.margin)
			return NoAction
		}
		if !leads && now < e.expires && !e.resigned {
			return NoAction
		}
		e.running = false
		return StopRole
	}
	if !leads {
		return NoAction
	}
	e.epoch, e.expires, e.running = lease.Epoch, lease.Expires-e.margin, true
	return StartRole
}

// Resign ends the term. The role isn't started again until Campaign.
func (e *Election) Resign() Action {
	e.resigned = true
	if !e.running {
		return NoAction
	}
	e.running = false
	return StopRole
}

// Campaign lets the role start again after Resign, once this node is the leader. A new Election campaigns.
func (e *Election) Campaign() { e.resigned = false }

// Valid reports whether the term of an epoch is running and hasn't ended.
func (e *Election) Valid(now time.Duration, epoch uint64) bool {
	return e.running && e.epoch == epoch && now < e.expires
}

// Term returns the epoch and the end of the running term; ok is false if none is running.
func (e *Election) Term() (epoch uint64, expires time.Duration, ok bool) {
	return e.epoch, e.expires, e.running
}

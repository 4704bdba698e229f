package leader

import "time"

// Lease is the state of this node's leader lease, as returned by a Source.
type Lease struct {
	Epoch   uint64        // epoch of the leadership, which increases from leader to leader
	Expires time.Duration // end of the lease by the monotonic clock of Election's caller
	Held    bool          // this node is the leader; if false, the other fields have no meaning
}

// Action is what the caller of an Election must do.
type Action int

// The actions.
const (
	NoAction  Action = iota
	StartRole        // run the role in the new term
	StopRole         // cancel the role, because its term has ended
)

// Election derives the starts and stops of a role from leader leases. It reads no clock: all times are passed in,
// as durations since any fixed moment. It isn't safe for concurrent use.
type Election struct {
	margin   time.Duration
	epoch    uint64
	expires  time.Duration // end of the term: the end of its lease less margin
	running  bool          // the role was started in epoch and has not been stopped
	resigned bool          // the role must not start
}

// NewElection returns an election whose terms end a margin before their leases. The margin is the time that an
// operation may take after a call of Term.Valid; a longer margin shortens each term.
func NewElection(margin time.Duration) *Election { return &Election{margin: margin} }

// Observe processes the source's lease and returns what the caller must do.
//
// A term lasts until the margin before the end of the latest lease of its epoch, even if the source no longer
// holds the lease, because no other node acts as leader until the lease ends. A lease of another epoch ends the
// term at once, and the next call starts the role in the new epoch, so that two terms never overlap.
func (e *Election) Observe(now time.Duration, lease Lease) Action {
	leads := lease.Held && !e.resigned && now < lease.Expires-e.margin
	if e.running {
		if leads && lease.Epoch == e.epoch {
			// Leases may be observed in another order than they were read, so the end never moves back.
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

// Resign ends the running term, if any. The role isn't started again until Campaign is called.
func (e *Election) Resign() Action {
	e.resigned = true
	if !e.running {
		return NoAction
	}
	e.running = false
	return StopRole
}

// Campaign allows the role to start again after Resign, once this node is the leader. In a new Election the role
// may start without a call of Campaign.
func (e *Election) Campaign() { e.resigned = false }

// Valid reports whether the term of the given epoch is running and hasn't ended at now.
func (e *Election) Valid(now time.Duration, epoch uint64) bool {
	return e.running && e.epoch == epoch && now < e.expires
}

// Term returns the epoch and the end of the running term; ok is false if none is running.
func (e *Election) Term() (epoch uint64, expires time.Duration, ok bool) {
	return e.epoch, e.expires, e.running
}

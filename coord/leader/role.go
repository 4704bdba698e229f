package leader

import (
	"context"
	"time"
)

// Source reports whether this node is the leader. coord/replica.Node is a Source. Its methods may be called by
// several goroutines at once, and must not call the Runner.
type Source interface {
	// LeaderLease returns the epoch of this node's leadership and the time until which no other node can be
	// leader; ok is false if this node isn't the leader. It must not block, because Term.Valid calls it before
	// each operation of the role.
	LeaderLease() (epoch uint64, until time.Time, ok bool)
	// HandOver transfers the leadership to another node (leadership transfer in Raft). It returns nil once
	// the leadership has been transferred; after an error, this node may still be the leader.
	HandOver(ctx context.Context) error
}

// Role is a function that at most one node executes at a time. It must return soon after ctx is cancelled; until
// it has returned, no new term starts on this node.
type Role func(ctx context.Context, term *Term)

// Term is one uninterrupted leadership of this node.
type Term struct {
	runner *Runner
	epoch  uint64
}

// Epoch returns the term's epoch, which is higher than that of any earlier term on any node. It serves as a
// fencing token against operations of earlier terms.
func (t *Term) Epoch() uint64 { return t.epoch }

// Valid reports whether this node is still the leader in this term. Call it directly before each operation
// that only the leader may execute. It may be called by several goroutines at once.
func (t *Term) Valid() bool { return t.runner.valid(t.epoch) }

package leader

import (
	"context"
	"time"
)

// Source says whether this node is the leader; coord/replica.Node is one. Its methods may be called by
// several goroutines at once, and must not call the Runner.
type Source interface {
	// LeaderLease returns the epoch of this node's leadership and the moment until which no other node can be
	// leader; ok is false if this node isn't the leader. It must not block: Term.Valid calls it before each
	// act.
	LeaderLease() (epoch uint64, until time.Time, ok bool)
	// HandOver transfers the leadership to another node (leadership transfer in Raft). It returns nil once
	// that is done; after an error, this node may still be the leader.
	HandOver(ctx context.Context) error
}

// Role is what one node at a time does. It returns soon after ctx is cancelled; until then no new term starts
// here.
type Role func(ctx context.Context, term *Term)

// Term is one uninterrupted leadership of this node.
type Term struct {
	runner *Runner
	epoch  uint64
}

// Epoch returns the term's epoch, which is higher than that of any term before it, on any node. It serves as
// a fencing token against acts of earlier terms.
func (t *Term) Epoch() uint64 { return t.epoch }

// Valid reports whether this node is still the leader in this term. Ask it right before each act. It may be
// called by several goroutines at once.
func (t *Term) Valid() bool { return t.runner.valid(t.epoch) }

package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// Propose proposes a command, waits until it is applied, and returns its result. It may be called on any node. A
// nil error means that the command is on the synced disks of the whole chain, which are more than
// Options.Tolerance disks.
//
// If the same ID is proposed again, Propose returns the first outcome, as long as it is among the outcomes of the
// latest chain.DeduplicationWindow commands. After ErrUncertain, a command may be proposed again with its ID
// through any node. An empty ID is replaced by a unique one.
//
// ErrUnavailable refers to this call only: an earlier call with the same ID may have been accepted.
func (n *Node) Propose(ctx context.Context, id string, command []byte) ([]byte, error) {
	if id == "" {
		id = n.newCommandID()
	}
	if n.status.Load().diskUnhealthy {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, errDiskUnhealthy)
	}
	waiter := &outcomeWaiter{outcomes: make(chan chain.Outcome, 1)}
	err := n.enqueue(ctx, func() { n.core.submit(n.now(), id, command, waiter) })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	select {
	case outcome := <-waiter.outcomes:
		return outcome.Result, nil
	case <-n.done:
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ErrClosed)
	case <-ctx.Done():
		return n.withdraw(id, waiter, ctx.Err())
	}
}

// newCommandID returns an ID that no other call, process or machine uses.
func (n *Node) newCommandID() string {
	return fmt.Sprintf("%s/%x/%d", n.core.self.ID(), n.core.incarnation, n.generatedIDs.Add(1))
}

// withdrawTimeout bounds the wait for the loop once a caller's context has ended.
const withdrawTimeout = 20 * time.Millisecond

// withdraw ends the wait for a command. Only the loop knows whether the command left the node; if the loop is
// blocked by the disk, the outcome is reported as uncertain.
func (n *Node) withdraw(id string, waiter *outcomeWaiter, cause error) ([]byte, error) {
	limited, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	sent := true
	withdrawn := make(chan bool, 1)
	if err := n.enqueue(limited, func() { withdrawn <- n.core.withdraw(id, waiter) }); err == nil {
		select {
		case sent = <-withdrawn:
		case <-limited.Done():
		}
	}
	select {
	case outcome := <-waiter.outcomes:
		return outcome.Result, nil
	default:
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrUncertain, cause)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// Read is a linearizable read barrier: it returns once the local state machine has applied every command
// acknowledged before the call, with the index applied by then. The caller then reads its own state machine.
// All errors wrap ErrUnavailable.
func (n *Node) Read(ctx context.Context) (index uint64, err error) {
	if n.status.Load().diskUnhealthy {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, errDiskUnhealthy)
	}
	indexes := make(chan uint64, 1)
	var read *pendingRead
	err = n.enqueue(ctx, func() {
		read = n.core.read(n.now(), func(index uint64) { indexes <- index })
	})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	select {
	case index = <-indexes:
		return index, nil
	case <-n.done:
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, ErrClosed)
	case <-ctx.Done():
		go func() { _ = n.enqueue(context.Background(), func() { n.core.cancelRead(read) }) }()
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// Staleness returns a bound on the staleness of the local state: every command acknowledged longer ago than age
// is applied on this node. It sends nothing; the age grows with the monotonic clock until the next proof
// arrives. ok is false before the first proof.
func (n *Node) Staleness() (age time.Duration, ok bool) {
	current := n.status.Load()
	if !current.stalenessKnown {
		return 0, false
	}
	return time.Since(current.currentAsOf), true
}

// View returns the newest view that the node knows.
func (n *Node) View() view.View { return n.status.Load().view }

// Self returns the node as a member.
func (n *Node) Self() view.Member { return n.core.self }

// Members returns the machines with a disk that the node knows, as of its last tick. A node ticks every 100 ms,
// a node without a disk every 250 ms.
func (n *Node) Members() []Peer { return n.status.Load().members }

// Applied returns the index of the last command applied on this node.
func (n *Node) Applied() uint64 { return n.status.Load().applied }

// IsHead reports whether the node is the head of the newest view that it knows. In a newer view, another node may
// have replaced it.
func (n *Node) IsHead() bool { return n.View().Head().Same(n.core.self) }

// LeaderLease returns the leader lease, if this node holds it: the epoch, which serves as a fencing token,
// and the moment until which no other node has the lease. Singleton roles depend on it (see coord/leader);
// their holder compares the moment with the clock right before each action. A new head gets the lease only after
// the lease of the previous head has expired.
func (n *Node) LeaderLease() (epoch uint64, until time.Time, ok bool) {
	current := n.status.Load()
	if !time.Now().Before(current.leaseExpiry) {
		return 0, time.Time{}, false
	}
	return current.leaseEpoch, current.leaseExpiry, true
}

// HeadLease returns the moment until which the head of no later epoch acts, if this node is the head of its
// epoch. Unlike LeaderLease, it doesn't wait until the lease of an earlier head has expired: it is for a holder
// that knows that no other node has acted since it last acted itself, in this incarnation or an earlier one of
// its disk.
func (n *Node) HeadLease() (until time.Time, ok bool) {
	until = n.status.Load().headLeaseExpiry
	return until, time.Now().Before(until)
}

// OnApply registers a function that is called after each command applied on this node, in order, on the goroutine
// of the loop. It must return quickly and must not call Propose or Read. It is not called for commands that
// arrive within a snapshot, nor for repetitions of a command.
func (n *Node) OnApply(callback func(index uint64, command, result []byte)) {
	n.callbackMu.Lock()
	defer n.callbackMu.Unlock()
	next := *n.callbacks.Load()
	next.onApply = append(slices.Clone(next.onApply), callback)
	n.callbacks.Store(&next)
}

// OnView registers a function that is called after each change of the view, on the goroutine of the loop.
func (n *Node) OnView(callback func(view.View)) {
	n.callbackMu.Lock()
	defer n.callbackMu.Unlock()
	next := *n.callbacks.Load()
	next.onView = append(slices.Clone(next.onView), callback)
	n.callbacks.Store(&next)
}

// SetSeeds replaces Options.Seeds.
func (n *Node) SetSeeds(seeds []string) {
	copied := slices.Clone(seeds)
	_ = n.enqueue(context.Background(), func() { n.core.seeds = copied })
}

// HandOver takes this node out of the chain by a change of the view, before its process ends, so that the other
// members don't have to detect its failure first. If the node is the head, it thereby gives up the leader lease;
// coord/leader uses this for its leadership transfer.
//
// HandOver returns nil once the node is out of the chain and the others have the complete prefix, or once they
// have had departureTimeout (1 s) to get it. It returns ErrUnavailable if the chain has too few members to go on
// without this node, or ErrClosed. If it returns the error of ctx, the departure continues, and the node may
// still be in the chain.
func (n *Node) HandOver(ctx context.Context) error {
	departed := make(chan struct{}, 1)
	possible := true
	err := n.runOnLoop(ctx, func() {
		possible = n.core.leave(n.now(), func() { departed <- struct{}{} })
	})
	if err != nil {
		return err
	}
	if !possible {
		return ErrUnavailable
	}
	select {
	case <-departed:
		return nil
	case <-n.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the node immediately, without a change of the view: to the other nodes this looks like a crash.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.closing) })
	<-n.done
	n.network.close()
	if n.store != nil {
		_ = n.store.Close()
	}
}

package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// Propose has a command applied, from any node, and returns its result. A nil error means that the command is
// on the synced disks of the whole chain, more than Options.Tolerance of them.
//
// The same ID proposed again returns the first outcome, as long as it is among those of the latest
// chain.DeduplicationWindow commands; a command that got ErrUncertain may be proposed again with its ID
// through any node. An empty ID is replaced by a unique one.
//
// ErrUnavailable concerns this call alone: an earlier call with the same ID may have been taken.
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
	return fmt.Sprintf("%s/%x/%d", n.core.self.ID(), n.core.incarnation, n.drawnIDs.Add(1))
}

// withdrawTimeout bounds the wait for the loop once a caller's context has ended.
const withdrawTimeout = 20 * time.Millisecond

// withdraw ends the wait for a command. Only the loop knows whether the command left the node; if the disk
// holds up the loop, the outcome counts as uncertain.
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

// Staleness returns a bound on how stale the local state is: every command acknowledged longer ago than age
// is applied here. It sends nothing; the age grows with the steady clock until the next proof arrives. ok is
// false before the first one.
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

// Members returns the machines with a disk that the node knows, as of its last tick: it ticks every 100 ms,
// without a disk every 250 ms.
func (n *Node) Members() []Peer { return n.status.Load().members }

// Applied returns the index of the last command applied here.
func (n *Node) Applied() uint64 { return n.status.Load().applied }

// IsHead reports whether the node is the head of the newest view that it knows. Another one may have replaced
// it.
func (n *Node) IsHead() bool { return n.View().Head().Same(n.core.self) }

// LeaderLease returns the leader lease, if this node holds it: the epoch, which serves as a fencing token,
// and the moment until which no other node has the lease. Singleton roles depend on it (see coord/leader);
// their holder compares the moment with the clock right before each act. A new head gets the lease only once
// that of the one before has expired.
func (n *Node) LeaderLease() (epoch uint64, until time.Time, ok bool) {
	current := n.status.Load()
	if !time.Now().Before(current.leaseExpiry) {
		return 0, time.Time{}, false
	}
	return current.leaseEpoch, current.leaseExpiry, true
}

// HeadLease returns the moment until which no successor of this node's epoch acts, if the node is its head.
// Unlike LeaderLease, it doesn't wait until the lease of an earlier head has expired: it is for a holder that
// knows that no other has acted since it did itself, in this incarnation or an earlier one of its disk.
func (n *Node) HeadLease() (until time.Time, ok bool) {
	until = n.status.Load().headLeaseExpiry
	return until, time.Now().Before(until)
}

// OnApply registers a function that is called after each command applied here, in order, on the goroutine of
// the loop. It must be short and must not call Propose or Read. Commands that arrive within a snapshot aren't
// reported, nor is a repetition of a command.
func (n *Node) OnApply(call func(index uint64, command, result []byte)) {
	n.callbackMu.Lock()
	defer n.callbackMu.Unlock()
	next := *n.callbacks.Load()
	next.onApply = append(slices.Clone(next.onApply), call)
	n.callbacks.Store(&next)
}

// OnView registers a function that is called after each change of the view, on the goroutine of the loop.
func (n *Node) OnView(call func(view.View)) {
	n.callbackMu.Lock()
	defer n.callbackMu.Unlock()
	next := *n.callbacks.Load()
	next.onView = append(slices.Clone(next.onView), call)
	n.callbacks.Store(&next)
}

// SetSeeds replaces Options.Seeds.
func (n *Node) SetSeeds(seeds []string) {
	copied := slices.Clone(seeds)
	_ = n.enqueue(context.Background(), func() { n.core.seeds = copied })
}

// HandOver takes this node out of the chain by a change of the view, before its process ends, so that the
// others need no failure detection. A head thereby gives up the leader lease; it is coord/leader's leadership
// transfer. It returns nil once the node is out and the others have the complete prefix, or have had
// departureTimeout (1 s) to get it. It returns ErrUnavailable if the chain has too few members to spare this
// one, ErrClosed, or the error of ctx: then the departure goes on, and the node may still be in the chain.
func (n *Node) HandOver(ctx context.Context) error {
	out := make(chan struct{}, 1)
	spared := true
	err := n.runOnLoop(ctx, func() {
		spared = n.core.leave(n.now(), func() { out <- struct{}{} })
	})
	if err != nil {
		return err
	}
	if !spared {
		return ErrUnavailable
	}
	select {
	case <-out:
		return nil
	case <-n.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends the node at once, without a change of the view: to the others it looks like a crash.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.closing) })
	<-n.done
	n.network.close()
	if n.store != nil {
		_ = n.store.Close()
	}
}

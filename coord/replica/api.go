package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// Propose has an order applied, from any node, and returns its result. A nil error means that the
// order is on the disks of the whole chain, more of them than may be lost at once. The same id again
// returns the first outcome, as long as it is among the last few thousand; an order that got
// ErrUncertain may be proposed again with its id anywhere. Without an id one is drawn.
//
// ErrUnavailable speaks of this call alone: an earlier call with the same id may have been taken.
func (n *Node) Propose(ctx context.Context, id string, command []byte) ([]byte, error) {
	if id == "" {
		id = n.drawID()
	}
	if n.status.Load().diskUnhealthy {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, errDiskUnhealthy)
	}
	wait := &outcomeWaiter{outcomes: make(chan chain.Outcome, 1)}
	err := n.enqueue(ctx, func() { n.core.submit(n.now(), id, command, wait) })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	select {
	case outcome := <-wait.outcomes:
		return outcome.Result, nil
	case <-n.done:
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ErrClosed)
	case <-ctx.Done():
		return n.withdraw(id, wait, ctx.Err())
	}
}

func (n *Node) drawID() string {
	return fmt.Sprintf("%s/%x/%d", n.core.self.ID(), n.core.incarnation, n.drawnIDs.Add(1))
}

// withdrawTime bounds the wait for the loop once a caller's time is over.
const withdrawTimeout = 20 * time.Millisecond

// withdraw ends the wait for an order. What is known of it is known on the loop only; a node whose
// disk holds up the loop can't tell, and then the order counts as uncertain.
func (n *Node) withdraw(id string, wait *outcomeWaiter, cause error) ([]byte, error) {
	limited, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	sent := true
	withdrawn := make(chan bool, 1)
	if err := n.enqueue(limited, func() { withdrawn <- n.core.withdraw(id, wait) }); err == nil {
		select {
		case sent = <-withdrawn:
		case <-limited.Done():
		}
	}
	select {
	case outcome := <-wait.outcomes:
		return outcome.Result, nil
	default:
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrUncertain, cause)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// Read returns once the local machine has applied every order acknowledged before the call.
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

// Fresh returns the age of this node's knowledge: everything acknowledged longer ago than age is
// applied here. It is computed from the steady clock at the call.
func (n *Node) Staleness() (age time.Duration, ok bool) {
	current := n.status.Load()
	if !current.stalenessKnown {
		return 0, false
	}
	return time.Since(current.currentAsOf), true
}

// errDisk says why a node refuses.
var errDiskUnhealthy = errors.New("the disk refuses writes")

// View returns the newest view that the node knows.
func (n *Node) View() view.View { return n.status.Load().view }

// Self returns the node as a member.
func (n *Node) Self() view.Member { return n.core.self }

// Members returns the core machines that the node knows.
func (n *Node) Members() []Peer { return n.status.Load().members }

// Applied returns the index of the last order applied here.
func (n *Node) Applied() uint64 { return n.status.Load().applied }

// IsHead reports whether the node is the head of the newest view it knows.
func (n *Node) IsHead() bool { return n.View().Head().Same(n.core.self) }

// Lead returns the epoch in which this node is the chain's head and the moment until which no
// successor acts, as long as a majority confirmed the epoch lately. Singleton roles hang on it: the
// holder compares until with the clock right before it acts. A new head leads only once the time of
// the one before has surely passed.
func (n *Node) Lead() (epoch uint64, until time.Time, ok bool) {
	current := n.status.Load()
	if !current.hasLease || !time.Now().Before(current.lease.Until) {
		return 0, time.Time{}, false
	}
	return current.lease.Epoch, current.lease.Until, true
}

// Head returns the moment until which no successor acts, where this node is the proven head of its epoch. Unlike Lead it doesn't
// wait until the time of the head before has passed: it is for a holder that knows that no other has acted since it did itself,
// in this life or an earlier one of its disk.
func (n *Node) Head() (until time.Time, ok bool) {
	until = n.status.Load().headLeaseExpiry
	return until, time.Now().Before(until)
}

// LeadSince returns the moment from which this node may act as the holder of singleton roles.
func (n *Node) LeadSince() (time.Time, bool) {
	current := n.status.Load()
	return current.lease.Since, current.hasLease
}

// OnApply has a function called after each order that is applied here, in order, on the goroutine of
// the machine. It must be short and must not call Propose or Read. Orders that came within an image
// of the whole state aren't told one by one.
func (n *Node) OnApply(call func(index uint64, command, result []byte)) {
	n.callbackMu.Lock()
	defer n.callbackMu.Unlock()
	next := *n.callbacks.Load()
	next.onApply = append(append([]func(uint64, []byte, []byte){}, next.onApply...), call)
	n.callbacks.Store(&next)
}

// OnView has a function called at each change of the view, on the goroutine of the machine.
func (n *Node) OnView(call func(view.View)) {
	n.callbackMu.Lock()
	defer n.callbackMu.Unlock()
	next := *n.callbacks.Load()
	next.onView = append(append([]func(view.View){}, next.onView...), call)
	n.callbacks.Store(&next)
}

// SetSeeds replaces the addresses to ask when nobody of the known view answers.
func (n *Node) SetSeeds(seeds []string) {
	copied := append([]string(nil), seeds...)
	_ = n.enqueue(context.Background(), func() { n.core.seeds = copied })
}

// HandOver leaves the chain by a change of the view, where enough others stay in it. It returns once
// the node is out, or with the error of ctx. A node that stays a member of a chain that can't spare it
// returns ErrUnavailable.
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

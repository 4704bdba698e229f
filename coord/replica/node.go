package replica

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

const (
	inputQueueLength    = 1024
	maxBatchedInputs    = 512 // inputs that share one sync
	diskProbeInterval   = 500 * time.Millisecond
	learnerTickInterval = 250 * time.Millisecond
)

// Node is one machine's part of the replicated state.
type Node struct {
	options   Options
	start     time.Time
	core      *core
	store     durableStore
	network   *network
	inputs    chan func()
	drawnIDs  atomic.Uint64 // counts ids of orders that came without one
	done      chan struct{}
	closing   chan struct{}
	closeOnce sync.Once

	diskUnhealthy bool // the disk refused a write
	nextDiskProbe time.Time
	members       []Peer // as of the last tick
	status        atomic.Pointer[status]
	callbacks     atomic.Pointer[callbacks]
	callbackMu    sync.Mutex
}

// status is what a node shows of itself, swapped whole.
type status struct {
	view            view.View
	applied         uint64
	currentAsOf     time.Time
	stalenessKnown  bool
	lease           LeaderLease
	hasLease        bool
	headLeaseExpiry time.Time // zero: not the proven head
	members         []Peer
	diskUnhealthy   bool
}

type callbacks struct {
	onApply []func(index uint64, order, result []byte)
	onView  []func(view.View)
}

// Start opens the disk, listens and joins the system that the seeds belong to.
func Start(options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	n := &Node{
		options: options,
		start:   time.Now(),
		inputs:  make(chan func(), inputQueueLength),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
	}
	n.callbacks.Store(&callbacks{})
	found, err := n.openDisk()
	if err != nil {
		return nil, err
	}
	if err := n.openCore(found); err != nil {
		return nil, n.abort(err)
	}
	n.flush()
	if n.diskUnhealthy {
		return nil, n.abort(fmt.Errorf("replica: the disk takes no bytes: %w", ErrUnavailable))
	}
	listener, err := options.listen()
	if err != nil {
		return nil, n.abort(fmt.Errorf("replica: %w", err))
	}
	n.network.serve(listener)
	n.publish()
	go n.run()
	return n, nil
}

func (n *Node) abort(err error) error {
	if n.network != nil {
		n.network.close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
	return err
}

func (n *Node) openCore(found *recoveredState) error {
	member, genesis, err := newMember(&n.options)
	if err != nil {
		return err
	}
	if found != nil {
		member = found.self
		genesis = nil
	}
	var drawn [24]byte
	if _, err := cryptorand.Read(drawn[:]); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	seed := func(i int) uint64 { return binary.LittleEndian.Uint64(drawn[8*i:]) }
	n.network = newNetwork(n, member)
	n.core, err = newCore(coreOptions{
		self:          member,
		hasDisk:       n.options.filesystem() != nil,
		tolerance:     n.options.Tolerance,
		limits:        defaultLimits,
		seeds:         n.options.Seeds,
		stateMachine:  n.options.StateMachine,
		random:        rand.New(rand.NewPCG(seed(0), seed(1))),
		incarnation:   seed(2),
		report:        n.options.Log,
		onApply:       n.onApplied,
		onViewAdopted: n.onViewAdopted,
	}, found, genesis, n.now())
	return err
}

// now is the steady clock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// run takes in messages, calls and ticks, one batch at a time.
func (n *Node) run() {
	defer close(n.done)
	interval := tickInterval
	if n.options.filesystem() == nil {
		interval = learnerTickInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-n.closing:
			return
		case <-ticker.C:
			n.tick()
		case input := <-n.inputs:
			n.runBatch(input)
		}
		n.flush()
		n.publish()
	}
}

func (n *Node) tick() {
	if n.diskUnhealthy && !n.probeDisk() {
		return
	}
	n.core.tick(n.now())
	n.network.closeIdle()
	n.members = n.core.members()
}

// batch takes in everything that waits, so that it shares one sync.
func (n *Node) runBatch(input func()) {
	input()
	for i := 1; i < maxBatchedInputs; i++ {
		select {
		case input = <-n.inputs:
			input()
		default:
			return
		}
	}
}

// flush makes the core's records durable, then sends its messages.
func (n *Node) flush() {
	if n.diskUnhealthy {
		n.core.takeMessages()
		return
	}
	if n.store != nil && n.store.LogBytes() > checkpointLogBytes {
		n.core.checkpointDue = true
	}
	records, snapshot := n.core.takeRecords()
	if err := n.write(records, snapshot); err != nil {
		n.diskFailed(err)
		return
	}
	n.core.persisted(n.now())
	for _, message := range n.core.takeMessages() {
		n.network.send(message)
	}
}

func (n *Node) write(records [][]byte, snapshot []byte) error {
	if n.store == nil {
		return nil
	}
	if snapshot != nil {
		return n.store.Compact(snapshot)
	}
	if len(records) == 0 {
		return nil
	}
	return n.store.Append(records...)
}

// diskFailed takes the member out until its disk takes bytes again: it falls silent, and nothing of
// what it decided last leaves it.
func (n *Node) diskFailed(err error) {
	n.options.Log("disk failed", "error", err.Error())
	n.diskUnhealthy = true
	n.nextDiskProbe = time.Now().Add(diskProbeInterval)
	n.core.takeMessages()
	_ = n.store.Close()
}

// probeDisk reopens the disk once it takes bytes again, and goes on from what it holds.
func (n *Node) probeDisk() bool {
	if time.Now().Before(n.nextDiskProbe) {
		return false
	}
	n.nextDiskProbe = time.Now().Add(diskProbeInterval)
	store, found, err := openStore(n.options.filesystem())
	if err != nil || found == nil {
		return false
	}
	if err := store.Append([]byte{recordProbe}); err != nil {
		_ = store.Close()
		return false
	}
	n.store = store
	n.diskUnhealthy = false
	n.core.reopened(n.now(), found)
	n.options.Log("disk works again")
	return true
}

// applied tells the callbacks of an order. An order that came twice is told once.
func (n *Node) onApplied(entry chain.Entry, outcome chain.Outcome, repeated bool) {
	if repeated {
		return
	}
	for _, call := range n.callbacks.Load().onApply {
		call(entry.Index, entry.Order, outcome.Result)
	}
}

func (n *Node) onViewAdopted(v view.View) {
	for _, call := range n.callbacks.Load().onView {
		call(v)
	}
}

// publish swaps the status that callers see.
func (n *Node) publish() {
	now := time.Now()
	elapsed := now.Sub(n.start)
	at := func(moment time.Duration) time.Time { return now.Add(moment - elapsed) }
	c := n.core
	next := &status{view: c.view(), diskUnhealthy: n.diskUnhealthy}
	next.applied, _ = c.state.Applied()
	if since, proven := c.currentAsOf(); proven {
		next.currentAsOf, next.stalenessKnown = at(since), true
	}
	if until, ok := c.headLease(); ok && !n.diskUnhealthy {
		next.headLeaseExpiry = at(until)
	}
	if until, ok := c.leaderLease(); ok && !n.diskUnhealthy {
		next.lease = LeaderLease{Epoch: c.epoch(), Since: at(c.lease.notBefore), Until: at(until)}
		next.hasLease = true
	}
	next.members = n.members
	n.status.Store(next)
}

// input has the loop run a function. It waits while the loop is held up, by its disk for instance.
func (n *Node) enqueue(ctx context.Context, run func()) error {
	select {
	case n.inputs <- run:
		return nil
	case <-n.closing:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close leaves without a word: as if the process had ended.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.closing) })
	<-n.done
	n.network.close()
	if n.store != nil {
		_ = n.store.Close()
	}
}

// query runs a function on the loop and waits for it.
func (n *Node) runOnLoop(ctx context.Context, run func()) error {
	finished := make(chan struct{})
	if err := n.enqueue(ctx, func() { run(); close(finished) }); err != nil {
		return err
	}
	select {
	case <-finished:
		return nil
	case <-n.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

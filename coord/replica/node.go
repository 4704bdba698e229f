package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// inputQueueLength is the number of inputs that may wait for the loop before their senders block.
	inputQueueLength = 1024
	// maxBatchedInputs bounds the inputs that share one sync. A larger batch saves syncs and delays the first
	// of it.
	maxBatchedInputs = 512
	// learnerTickInterval is the time between ticks of a node without a disk, which has less to do.
	learnerTickInterval = 250 * time.Millisecond
)

// Node is one process's part of the replicated state: it carries a core with sockets, a disk and the steady
// clock. All of the core runs on one goroutine, the loop; other goroutines reach it through inputs, and see
// the status.
type Node struct {
	options  Options
	start    time.Time     // zero of the core's clock
	inputs   chan func()   // executed by the loop
	drawnIDs atomic.Uint64 // command IDs drawn by Propose

	closeOnce sync.Once
	closing   chan struct{} // closed by Close
	done      chan struct{} // closed by the loop at its end

	// Used by the loop only, from the return of Start to the end of the loop. Any goroutine may read
	// core.self and core.incarnation, which never change.
	core          *core
	store         durableStore // nil: no disk
	network       *network
	diskUnhealthy bool // the disk refused a write
	nextDiskProbe time.Time
	members       []Peer // as of the last tick

	status     atomic.Pointer[status]
	callbacks  atomic.Pointer[callbacks]
	callbackMu sync.Mutex // held to replace callbacks
}

// now returns the time of the core: a steady clock that starts with the process.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// run is the loop. It handles messages, calls and ticks, a batch at a time.
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

// tick has the core tick, unless the disk still refuses writes.
func (n *Node) tick() {
	if n.diskUnhealthy && !n.probeDisk() {
		return
	}
	n.core.tick(n.now())
	n.network.closeIdle()
	n.members = n.core.members()
}

// runBatch handles an input and those that wait behind it, so that they share one sync.
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

// write makes records durable, or a snapshot in their place.
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

// enqueue hands an input to the loop. It blocks while the queue is full, for instance because the disk
// stalls.
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

// runOnLoop has the loop run a function and waits for its end.
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

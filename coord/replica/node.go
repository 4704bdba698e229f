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
	// maxBatchedInputs bounds the number of inputs that share one sync. A larger batch saves syncs, but delays
	// its first inputs.
	maxBatchedInputs = 512
	// learnerTickInterval is the time between ticks of a node without a disk, which has less to do.
	learnerTickInterval = 250 * time.Millisecond
)

// Node is one process's replica of the state: it drives a core with sockets, a disk and the monotonic clock. The core
// runs on a single goroutine, the loop. Other goroutines pass functions to the loop through inputs, and read the
// published status.
type Node struct {
	options      Options
	start        time.Time     // time zero of the core's clock
	inputs       chan func()   // executed by the loop
	generatedIDs atomic.Uint64 // command IDs drawn by Propose

	closeOnce sync.Once
	closing   chan struct{} // closed by Close
	done      chan struct{} // closed by the loop at its end

	// Used by the loop only, from the return of Start to the end of the loop. Any goroutine may read
	// core.self and core.incarnation, which never change.
	core          *core
	store         durableStore // nil: no disk
	network       *network
	diskUnhealthy bool // the disk has refused a write and isn't reopened yet
	nextDiskProbe time.Time
	members       []Peer // as of the last tick

	status     atomic.Pointer[status]
	callbacks  atomic.Pointer[callbacks]
	callbackMu sync.Mutex // held to replace callbacks
}

// now returns the time on the core's clock: the monotonic time since the start of the node.
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

// tick calls core.tick, unless the disk still refuses writes.
func (n *Node) tick() {
	if n.diskUnhealthy && !n.probeDisk() {
		return
	}
	n.core.tick(n.now())
	n.network.closeIdle()
	n.members = n.core.members()
}

// runBatch executes an input and those queued behind it, so that they share one sync.
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

// write makes the records durable, or the snapshot if it isn't nil.
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

// enqueue queues an input for the loop. It blocks while the queue is full, for instance because the disk stalls.
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

// runOnLoop runs a function on the loop and waits until it has returned.
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

package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// simulatedNode is a machine of the cluster. It drives the core as Node does.
type simulatedNode struct {
	sim          *simulatedCluster
	name         string
	address      string
	removed      bool // removed permanently
	core         *core
	stateMachine *historyStateMachine

	incarnation     int // number of starts and ends; events of an earlier incarnation are dropped
	up              bool
	paused          bool
	inbox           []func()      // inputs that wait for the end of a sync or pause
	pendingOutcomes []func() bool // each delivers its outcome if there is one, and reports whether it did

	partitioned      bool // partitioned from all other machines with a disk, at least in one direction
	partitionedSince time.Duration

	disk          *simulatedDisk // nil: the machine has no disk
	diskSince     time.Duration  // when its disk was created
	syncing       bool
	writing       func(power bool) // ends the process during the write in progress; nil: no write is in progress
	diskStalled   bool             // syncs don't complete
	diskSlowdown  int              // factor by which syncs take longer
	diskFull      bool             // the disk refuses writes
	diskUnhealthy bool             // the disk has refused a write and isn't reopened yet
}

// start starts the process of a machine.
func (n *simulatedNode) start(bootstrap bool) {
	sim := n.sim
	n.incarnation++
	n.up, n.paused, n.syncing, n.inbox, n.writing = true, false, false, nil, nil
	n.pendingOutcomes, n.diskUnhealthy = nil, false
	n.stateMachine = &historyStateMachine{retained: sim.retainedCommands}
	options := coreOptions{
		self:          view.Member{Node: n.name, Address: n.address},
		hasDisk:       n.disk != nil,
		tolerance:     sim.tolerance,
		limits:        sim.limits,
		seeds:         sim.currentSeeds(bootstrap),
		stateMachine:  n.stateMachine,
		random:        rand.New(rand.NewPCG(sim.random.Uint64(), 1)),
		incarnation:   sim.random.Uint64(),
		onApply:       n.onApplied,
		onViewAdopted: n.onViewAdopted,
		logEvent: func(event string, fields ...any) {
			sim.tracef("%s %s %v", n.name, event, fields)
		},
	}
	recovered := n.open()
	var genesis *view.View
	if recovered == nil {
		options.self.Incarnation = fmt.Sprintf("%x", sim.random.Uint64())
		if bootstrap || sim.bug == bugWipedMemberVotes {
			genesis = n.genesis(&options)
		}
	}
	var err error
	if n.core, err = newCore(options, recovered, genesis, sim.now); err != nil {
		sim.failf("start %s: %v", n.name, err)
	}
	sim.tracef("%s starts, incarnation %s", n.name, n.core.self.Incarnation)
	incarnation := n.incarnation
	n.flush()
	sim.after(time.Duration(sim.random.Int64N(int64(tickInterval))), func() { n.tick(incarnation) })
}

// open opens the disk, if there is one, and checks that the recovered state equals the shadow.
func (n *simulatedNode) open() *recoveredState {
	if n.disk == nil {
		return nil
	}
	n.disk.files.SetCapacity(0)
	recovered := n.disk.open()
	if recovered != nil {
		n.sim.recoveries++
	}
	if recovered.summary() != n.disk.shadow.summary() {
		n.sim.failf("%s recovers %s from its disk, want %s", n.name, recovered.summary(), n.disk.shadow.summary())
	}
	n.injectIntoRecovery(recovered)
	return recovered
}

// genesis returns the first view. A machine among the founders gets their incarnation.
func (n *simulatedNode) genesis(options *coreOptions) *view.View {
	first := view.Genesis(n.sim.seeds)
	if n.disk != nil && slices.Contains(n.sim.seeds, n.address) {
		options.self.Incarnation = view.GenesisIncarnation
	}
	return &first
}

// tick calls core.tick every tickInterval until the incarnation ends.
func (n *simulatedNode) tick(incarnation int) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	if !n.paused && !n.diskUnhealthy {
		n.handle(func() { n.core.tick(n.sim.now) })
	}
	n.sim.after(tickInterval, func() { n.tick(incarnation) })
}

// handle executes an input immediately, or after the current sync or pause of the process.
func (n *simulatedNode) handle(input func()) {
	if !n.up {
		return
	}
	if n.paused || n.syncing {
		n.inbox = append(n.inbox, input)
		return
	}
	input()
	n.flush()
}

// flush makes the core's records durable, then sends its messages, as Node.flush does.
func (n *simulatedNode) flush() {
	sim := n.sim
	if n.diskUnhealthy {
		n.core.takeMessages()
		return
	}
	if n.disk != nil && n.disk.store.LogBytes() > sim.checkpointAt {
		n.core.checkpointDue = true
	}
	n.injectIntoCore()
	var write diskWrite
	write.records, write.snapshot = n.core.takeRecords()
	if write.empty() {
		n.finish()
		return
	}
	if write.snapshot != nil {
		write.state = n.core.durableState()
	}
	if sim.bug == bugSendBeforeSync {
		n.finish()
	}
	n.syncing = true
	incarnation := n.incarnation
	n.writing = func(powerLoss bool) { n.disk.end(write, powerLoss) }
	duration := sim.syncTime/2 + time.Duration(sim.random.Int64N(int64(sim.syncTime)))
	sim.after(duration*time.Duration(max(n.diskSlowdown, 1)), func() { n.synced(incarnation, write) })
}

// refuseWrites fills the disk for the duration down. If the disk has refused a write, the process then continues from
// the contents of the disk, as Node does.
func (n *simulatedNode) refuseWrites(down time.Duration) {
	n.diskFull = true
	n.disk.fill()
	n.sim.after(down, func() {
		n.diskFull = false
		n.disk.files.SetCapacity(0)
		if !n.diskUnhealthy || !n.up {
			return
		}
		n.diskUnhealthy = false
		n.core.reopened(n.sim.now, n.disk.open())
		n.flush()
	})
}

// synced completes a sync. While the disk is stalled or the process is paused, it tries again after 5 ms.
func (n *simulatedNode) synced(incarnation int, write diskWrite) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	if n.paused || n.diskStalled {
		n.sim.after(5*time.Millisecond, func() { n.synced(incarnation, write) })
		return
	}
	n.writing = nil
	n.syncing = false
	if err := n.disk.write(write); err != nil {
		n.writeRefused(err)
	} else {
		n.finish()
	}
	n.drain()
}

// writeRefused takes the member out of service until its disk accepts writes again, as Node.diskFailed does.
func (n *simulatedNode) writeRefused(err error) {
	if !n.diskFull {
		n.sim.failf("the disk of %s: %v", n.name, err)
	}
	n.sim.tracef("the disk of %s refuses a write", n.name)
	n.diskUnhealthy = true
	n.core.takeMessages()
	_ = n.disk.store.Close()
}

// drain handles the inputs that arrived during a sync or pause, as one batch.
func (n *simulatedNode) drain() {
	if len(n.inbox) == 0 || n.paused || n.syncing {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, input := range inbox {
		input()
	}
	n.flush()
}

// finish notifies the core that its records are durable, and sends its messages.
func (n *simulatedNode) finish() {
	sim := n.sim
	n.core.persisted(sim.now)
	n.notifyWaiting()
	if records, checkpoint := n.peekRecords(); records || checkpoint {
		sim.failf("%s has queued records or a checkpoint after its sync", n.name)
	}
	for _, m := range n.core.takeMessages() {
		sim.deliver(n, m)
	}
	sim.checkLeaderLeases()
}

// peekRecords reports whether the core has queued records, or a checkpoint, that weren't taken yet.
func (n *simulatedNode) peekRecords() (records, checkpoint bool) {
	return len(n.core.records) > 0 && n.disk != nil, n.core.checkpointDue && n.disk != nil
}

// kill ends a process. A part of the write in progress may be on the disk.
func (n *simulatedNode) kill() { n.end("killed", false) }

// losePower ends a process by a power loss. Unsynced data may be on the disk, lost or torn.
func (n *simulatedNode) losePower() { n.end("loses power", true) }

// end ends a process.
func (n *simulatedNode) end(how string, powerLoss bool) {
	if !n.up {
		return
	}
	n.sim.tracef("%s %s", n.name, how)
	n.up = false
	n.incarnation++
	if n.disk == nil {
		return
	}
	if n.writing == nil {
		n.disk.end(diskWrite{}, powerLoss)
		return
	}
	n.writing(powerLoss)
	n.writing = nil
}

// wipe kills a process and replaces its disk by an empty one.
func (n *simulatedNode) wipe() {
	n.kill()
	n.sim.tracef("%s loses its disk", n.name)
	n.sim.lostDisks = append(n.sim.lostDisks, lostDisk{at: n.sim.now, state: n.disk.shadow})
	n.disk = newSimulatedDisk(n.sim.random.Uint64())
	n.diskSince = n.sim.now
}

// pause pauses a process.
func (n *simulatedNode) pause() {
	n.sim.tracef("%s is paused", n.name)
	n.paused = true
}

// resume resumes a paused process, which handles the inputs that arrived during the pause.
func (n *simulatedNode) resume() {
	if !n.up || !n.paused {
		return
	}
	n.sim.tracef("%s resumes", n.name)
	n.paused = false
	n.drain()
}

// propose proposes a command through a node and records the acknowledgement. The returned function withdraws the call.
func (n *simulatedNode) propose(id string, done func(chain.Outcome)) (withdraw func()) {
	sim := n.sim
	incarnation, started := n.incarnation, sim.now
	waiter := &outcomeWaiter{outcomes: make(chan chain.Outcome, 1)}
	submitted := false
	record := sim.callersOf(id)
	record.calls++
	record.open++
	n.handle(func() {
		if n.incarnation != incarnation {
			return
		}
		submitted = true
		n.pendingOutcomes = append(n.pendingOutcomes, func() bool {
			if len(waiter.outcomes) == 0 {
				return false
			}
			outcome := <-waiter.outcomes
			sim.recordAck(n, id, started, outcome)
			if done != nil {
				sim.after(0, func() { done(outcome) })
			}
			return true
		})
		n.core.submit(sim.now, id, []byte(id), waiter)
	})
	return func() {
		n.handle(func() {
			if n.incarnation == incarnation && submitted && len(waiter.outcomes) == 0 {
				n.recordWithdrawal(record, n.core.withdraw(id, waiter))
			}
		})
	}
}

// recordWithdrawal records the withdrawal of a call, and whether the call reported that the command never left the
// node.
func (n *simulatedNode) recordWithdrawal(record *callerRecord, sent bool) {
	if !sent || n.sim.bug == bugSentReportedUnsent {
		record.unsent++
	}
	record.open--
	record.lastWithdrawn = n.sim.now
}

// notifyWaiting delivers available outcomes to the callers of this node.
func (n *simulatedNode) notifyWaiting() {
	n.pendingOutcomes = slices.DeleteFunc(n.pendingOutcomes, func(delivered func() bool) bool { return delivered() })
}

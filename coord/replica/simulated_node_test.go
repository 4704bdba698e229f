package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// simulatedNode is a machine of the cluster. It carries the core as Node does.
type simulatedNode struct {
	sim          *simulatedCluster
	name         string
	address      string
	removed      bool // for good
	core         *core
	stateMachine *historyStateMachine

	incarnation     int // counts starts and ends; events of earlier ones are dropped
	up              bool
	paused          bool
	inbox           []func()      // inputs that wait for the end of a sync or pause
	pendingOutcomes []func() bool // each reports whether its outcome has come

	partitioned      bool // from all other machines, at least one way
	partitionedSince time.Duration

	disk          *simulatedDisk // nil: a machine without one
	diskSince     time.Duration  // when its disk was new
	syncing       bool
	writing       func(power bool) // ends the process during the write under way; nil: there is none
	diskStalled   bool             // syncs don't end
	diskSlowdown  int              // syncs take this many times as long
	diskFull      bool             // the disk refuses writes
	diskUnhealthy bool             // and has refused one
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

// open opens the disk, if there is one, and checks what is on it.
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
		n.sim.failf("%s finds %s on its disk, which held %s", n.name, recovered.summary(), n.disk.shadow.summary())
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

// tick has the core of an incarnation tick for ever.
func (n *simulatedNode) tick(incarnation int) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	if !n.paused && !n.diskUnhealthy {
		n.handle(func() { n.core.tick(n.sim.now) })
	}
	n.sim.after(tickInterval, func() { n.tick(incarnation) })
}

// handle executes an input now, or after the sync or the pause that holds the process up.
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

// refuseWrites has the disk refuse writes for a while. As with Node, the process then continues from what the
// disk holds.
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

// synced ends a sync, unless the disk is stalled or the process paused.
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

// writeRefused takes the member out of service until its disk takes bytes again, as Node.diskFailed does.
func (n *simulatedNode) writeRefused(err error) {
	if !n.diskFull {
		n.sim.failf("the disk of %s: %v", n.name, err)
	}
	n.sim.tracef("the disk of %s refuses a write", n.name)
	n.diskUnhealthy = true
	n.core.takeMessages()
	_ = n.disk.store.Close()
}

// drain handles what arrived meanwhile, as one batch.
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

// finish tells the core that its records are durable and sends its messages.
func (n *simulatedNode) finish() {
	sim := n.sim
	n.core.persisted(sim.now)
	n.notifyWaiting()
	if records, checkpoint := n.peekRecords(); records || checkpoint {
		sim.failf("%s wants to write after its sync", n.name)
	}
	for _, m := range n.core.takeMessages() {
		sim.deliver(n, m)
	}
	sim.checkLeaderLeases()
}

// peekRecords reports whether the core has decided records, or a checkpoint, that it hasn't handed over.
func (n *simulatedNode) peekRecords() (records, checkpoint bool) {
	return len(n.core.records) > 0 && n.disk != nil, n.core.checkpointDue && n.disk != nil
}

// kill ends a process; a part of the write under way may be on the disk.
func (n *simulatedNode) kill() { n.end("killed", false) }

// losePower ends a process; what it hadn't synced is on the disk, lost or torn.
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

// resume resumes a paused process, which handles all that arrived meanwhile.
func (n *simulatedNode) resume() {
	if !n.up || !n.paused {
		return
	}
	n.sim.tracef("%s resumes", n.name)
	n.paused = false
	n.drain()
}

// propose proposes a command through a node and records the acknowledgement. withdraw ends the call.
func (n *simulatedNode) propose(id string, done func(chain.Outcome)) (withdraw func()) {
	sim := n.sim
	incarnation, started := n.incarnation, sim.now
	wait := &outcomeWaiter{outcomes: make(chan chain.Outcome, 1)}
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
			if len(wait.outcomes) == 0 {
				return false
			}
			outcome := <-wait.outcomes
			sim.recordAck(n, id, started, outcome)
			if done != nil {
				sim.after(0, func() { done(outcome) })
			}
			return true
		})
		n.core.submit(sim.now, id, []byte(id), wait)
	})
	return func() {
		n.handle(func() {
			if n.incarnation == incarnation && submitted && len(wait.outcomes) == 0 {
				n.recordWithdrawal(record, n.core.withdraw(id, wait))
			}
		})
	}
}

// recordWithdrawal records what a caller that gives up is told.
func (n *simulatedNode) recordWithdrawal(record *callerRecord, sent bool) {
	if !sent || n.sim.bug == bugSentForgotten {
		record.unsent++
	}
	record.open--
	record.lastWithdrawn = n.sim.now
}

// notifyWaiting delivers outcomes to the callers of this node.
func (n *simulatedNode) notifyWaiting() {
	n.pendingOutcomes = slices.DeleteFunc(n.pendingOutcomes, func(delivered func() bool) bool { return delivered() })
}

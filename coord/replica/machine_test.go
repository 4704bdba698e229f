package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// simulatedNode is a machine of the world.
type simulatedNode struct {
	world     *world
	name      string
	address   string
	disk      *simulatedDisk // nil: a machine without one
	diskSince time.Duration  // its disk has lasted since
	core      *core
	machine   *historyMachine
	life      int // counts starts; events of earlier lives are dropped
	up        bool
	frozen    bool
	syncing   bool
	stalled   bool // the disk answers nothing
	slow      int  // the disk takes this many times as long
	full      bool // the disk refuses writes
	ailing    bool // it has refused one
	inbox     []func()
	waits     []func() bool
	writing   func(power bool) // ends the process within the write under way
	gone      bool

	cutOff      bool // from all other machines, at least one way
	cutOffSince time.Duration
}

// start starts the process of a machine.
func (n *simulatedNode) start(bootstrap bool) {
	w := n.world
	n.life++
	n.up, n.frozen, n.syncing, n.inbox, n.writing = true, false, false, nil, nil
	n.waits, n.ailing = nil, false
	n.machine = &historyMachine{keep: w.keepOrders}
	options := coreOptions{
		self:          view.Member{Node: n.name, Address: n.address},
		hasDisk:       n.disk != nil,
		tolerance:     w.tolerance,
		limits:        w.limits,
		seeds:         w.currentSeeds(bootstrap),
		stateMachine:  n.machine,
		random:        rand.New(rand.NewPCG(w.random.Uint64(), 1)),
		incarnation:   w.random.Uint64(),
		onApply:       n.applied,
		onViewAdopted: n.adopted,
		report: func(event string, fields ...any) {
			w.note("%s %s %v", n.name, event, fields)
		},
	}
	found := n.open()
	var genesis *view.View
	if found == nil {
		options.self.Incarnation = fmt.Sprintf("%x", w.random.Uint64())
		if bootstrap || w.plant == plantWipedVotes {
			genesis = n.genesis(&options)
		}
	}
	var err error
	if n.core, err = newCore(options, found, genesis, w.now); err != nil {
		w.failf("start %s: %v", n.name, err)
	}
	w.note("%s starts, incarnation %s", n.name, n.core.self.Incarnation)
	life := n.life
	n.flush()
	w.after(time.Duration(w.random.Int64N(int64(tickInterval))), func() { n.tick(life) })
}

// open opens the disk, if there is one.
func (n *simulatedNode) open() *recoveredState {
	if n.disk == nil {
		return nil
	}
	n.disk.files.SetCapacity(0)
	found := n.disk.open()
	if found != nil {
		n.world.recoveries++
	}
	if found.summary() != n.disk.shadow.summary() {
		n.world.failf("%s finds %s on its disk, which held %s", n.name, found.summary(), n.disk.shadow.summary())
	}
	n.plantRecovery(found)
	return found
}

// genesis founds the system, as one of its seeds where this machine is one.
func (n *simulatedNode) genesis(options *coreOptions) *view.View {
	first := view.Genesis(n.world.seeds)
	if n.disk != nil && slices.Contains(n.world.seeds, n.address) {
		options.self.Incarnation = view.GenesisIncarnation
	}
	return &first
}

func (n *simulatedNode) tick(life int) {
	if n.life != life || !n.up {
		return
	}
	if !n.frozen && !n.ailing {
		n.handle(func() { n.core.tick(n.world.now) })
	}
	n.world.after(tickInterval, func() { n.tick(life) })
}

// handle runs an input now, or after the sync or the freeze that holds the process up.
func (n *simulatedNode) handle(input func()) {
	if !n.up {
		return
	}
	if n.frozen || n.syncing {
		n.inbox = append(n.inbox, input)
		return
	}
	input()
	n.flush()
}

// flush makes durable what the core wants, then sends what it says.
func (n *simulatedNode) flush() {
	w := n.world
	if n.ailing {
		n.core.takeMessages()
		return
	}
	if n.disk != nil && n.disk.store.LogBytes() > w.compactAt {
		n.core.checkpointDue = true
	}
	n.plantBefore()
	var write diskWrite
	write.records, write.whole = n.core.takeRecords()
	if write.empty() {
		n.finish()
		return
	}
	if write.whole != nil {
		write.state = n.core.durableState()
	}
	if w.plant == plantSyncLate {
		n.finish()
	}
	n.syncing = true
	life := n.life
	n.writing = func(power bool) { n.disk.end(write, power) }
	duration := w.syncTime/2 + time.Duration(w.random.Int64N(int64(w.syncTime)))
	w.after(duration*time.Duration(max(n.slow, 1)), func() { n.synced(life, write) })
}

// refuseWrites has the disk take no bytes for a while. As Node does, the process then goes on from what
// the disk holds.
func (n *simulatedNode) refuseWrites(down time.Duration) {
	n.full = true
	n.disk.fill()
	n.world.after(down, func() {
		n.full = false
		n.disk.files.SetCapacity(0)
		if !n.ailing || !n.up {
			return
		}
		n.ailing = false
		n.core.reopened(n.world.now, n.disk.open())
		n.flush()
	})
}

func (n *simulatedNode) synced(life int, write diskWrite) {
	if n.life != life || !n.up {
		return
	}
	if n.frozen || n.stalled {
		n.world.after(5*time.Millisecond, func() { n.synced(life, write) })
		return
	}
	n.writing = nil
	n.syncing = false
	if err := n.disk.write(write); err != nil {
		n.refused(err)
	} else {
		n.finish()
	}
	n.drain()
}

// refused takes the member out until its disk takes bytes again, as Node does.
func (n *simulatedNode) refused(err error) {
	if !n.full {
		n.world.failf("the disk of %s: %v", n.name, err)
	}
	n.world.note("the disk of %s refuses a write", n.name)
	n.ailing = true
	n.core.takeMessages()
	_ = n.disk.store.Close()
}

// drain takes in what arrived meanwhile, as one batch.
func (n *simulatedNode) drain() {
	if len(n.inbox) == 0 || n.frozen || n.syncing {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, input := range inbox {
		input()
	}
	n.flush()
}

func (n *simulatedNode) finish() {
	w := n.world
	n.core.persisted(w.now)
	n.tellWaiting()
	if records, whole := n.peekRecords(); records || whole {
		w.failf("%s wants to write after its sync", n.name)
	}
	for _, m := range n.core.takeMessages() {
		w.deliver(n, m)
	}
	w.checkLeads()
}

func (n *simulatedNode) peekRecords() (records, whole bool) {
	return len(n.core.records) > 0 && n.disk != nil, n.core.checkpointDue && n.disk != nil
}

// kill ends a process; of what was being written a part may be there.
func (n *simulatedNode) kill() { n.end("killed", false) }

// losePower ends a process, and what it hadn't synced is there, lost or torn.
func (n *simulatedNode) losePower() { n.end("loses power", true) }

func (n *simulatedNode) end(how string, power bool) {
	if !n.up {
		return
	}
	n.world.note("%s %s", n.name, how)
	n.up = false
	n.life++
	if n.disk == nil {
		return
	}
	if n.writing == nil {
		n.disk.end(diskWrite{}, power)
		return
	}
	n.writing(power)
	n.writing = nil
}

func (n *simulatedNode) wipe() {
	n.kill()
	n.world.note("%s loses its disk", n.name)
	n.world.lostDisks = append(n.world.lostDisks, lostDisk{at: n.world.now, state: n.disk.shadow})
	n.disk = newSimulatedDisk(n.world.random.Uint64())
	n.diskSince = n.world.now
}

func (n *simulatedNode) freeze() {
	n.world.note("%s freezes", n.name)
	n.frozen = true
}

func (n *simulatedNode) thaw() {
	if !n.up || !n.frozen {
		return
	}
	n.world.note("%s thaws", n.name)
	n.frozen = false
	n.drain()
}

// propose sends an order through a node and notes the acknowledgement. The function that it returns withdraws the caller.
func (n *simulatedNode) propose(id string, done func(chain.Outcome)) (withdraw func()) {
	w := n.world
	life, started := n.life, w.now
	wait := &waiter{outcomes: make(chan chain.Outcome, 1)}
	submitted := false
	of := w.callersOf(id)
	of.calls++
	of.open++
	n.handle(func() {
		if n.life != life {
			return
		}
		submitted = true
		n.waits = append(n.waits, func() bool {
			if len(wait.outcomes) == 0 {
				return false
			}
			outcome := <-wait.outcomes
			w.acknowledge(n, id, started, outcome)
			if done != nil {
				w.after(0, func() { done(outcome) })
			}
			return true
		})
		n.core.submit(w.now, id, []byte(id), wait)
	})
	return func() {
		n.handle(func() {
			if n.life == life && submitted && len(wait.outcomes) == 0 {
				n.withdrawn(of, n.core.withdraw(id, wait))
			}
		})
	}
}

// withdrawn notes what a caller is told that gives up.
func (n *simulatedNode) withdrawn(of *callers, sent bool) {
	if !sent || n.world.plant == plantSentForgotten {
		of.unsent++
	}
	of.open--
	of.lastGone = n.world.now
}

func (w *world) callersOf(id string) *callers {
	if w.callers[id] == nil {
		w.callers[id] = &callers{}
	}
	return w.callers[id]
}

// tellWaiting tells the clients of this node what has come of their orders.
func (n *simulatedNode) tellWaiting() {
	n.waits = slices.DeleteFunc(n.waits, func(told func() bool) bool { return told() })
}

package replica

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation"
)

// This file contains a simulation of several stores, which runs in virtual time: links lose, delay and reorder
// messages. Control consists of the real state machine of the store membership and the real liveness table, in one
// process that never fails. All randomness comes from the seed.

const (
	leaseMargin    = 100 * time.Millisecond // as in internal/batch/server
	pollInterval   = 400 * time.Millisecond
	cancelDeadline = 3 * time.Second // cancel-ms
	maxClockSkew   = time.Second     // maximum deviation of a store's time of day
	controlName    = "control"

	// maxEvents limits the events of a run. 10,000 are usual; more than maxEvents indicate that stores send messages
	// without end.
	maxEvents = 100_000
)

// event is a function that is called at a time. order decides between events of the same time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// storeSimulation is one run of a simulation.
type storeSimulation struct {
	seed              uint64
	random            *simulation.Rand
	now               time.Duration
	events            []event
	order             int
	eventCount        int // number of events that have run
	replicationFactor int
	retention         time.Duration // retention of batch jobs
	itemLifetime      time.Duration // age of a batch job from which its items are not tried any more
	segmentSize       int64         // bytes
	tokenLimit        int64         // limit of queued tokens, 0 for none
	stores            []*simulatedStore
	incarnations      int // number of disk incarnations assigned so far
	control           *statemachine.StateMachine
	table             *liveness.Table
	commandIndex      uint64
	clients           *clients
	lossRate          float64
	partitions        map[[2]string]int
	faultsEnded       bool
	bug               string
	tracing           bool
	traceHash         uint64 // hash of all texts given to note, with their times
	failure           error
}

func newStoreSimulation(seed uint64, count, copies int, bug string) *storeSimulation {
	sim := &storeSimulation{
		seed: seed, random: simulation.NewRand(seed), replicationFactor: copies, retention: time.Hour,
		itemLifetime: time.Hour, segmentSize: 4000,
		control: statemachine.New(), table: liveness.New(), partitions: map[[2]string]int{},
		bug: bug, tracing: os.Getenv("TRACE") != "",
	}
	sim.clients = &clients{sim: sim, jobs: map[string]*clientJob{}}
	sim.table.SetLeadership(0, 1, true)
	for range count {
		sim.addStore()
	}
	sim.schedule(0, sim.runControl)
	return sim
}

// setRetention sets the retention of batch jobs at all stores, as the settings of a deployment do.
func (sim *storeSimulation) setRetention(retention time.Duration) {
	sim.retention = retention
	for _, s := range sim.stores {
		s.machine.options.Retention = retention + 2*maxClockSkew
	}
}

// addStore adds a store with an empty disk and starts it.
func (sim *storeSimulation) addStore() *simulatedStore {
	number := len(sim.stores) + 1
	s := newSimulatedStore(sim, "store-"+strconv.Itoa(number), "ip-"+strconv.Itoa(number), "zone-"+strconv.Itoa(number%3+1))
	sim.stores = append(sim.stores, s)
	s.start()
	return s
}

// schedule adds an event that calls a function after a delay.
func (sim *storeSimulation) schedule(delay time.Duration, run func()) {
	sim.order++
	sim.events = append(sim.events, event{at: sim.now + delay, order: sim.order, run: run})
	sim.siftUp(len(sim.events) - 1)
}

func (sim *storeSimulation) less(i, j int) bool {
	a, b := &sim.events[i], &sim.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// siftUp restores the heap of events after one was added.
func (sim *storeSimulation) siftUp(i int) {
	for i > 0 && sim.less(i, (i-1)/2) {
		sim.events[i], sim.events[(i-1)/2] = sim.events[(i-1)/2], sim.events[i]
		i = (i - 1) / 2
	}
}

// pop removes the earliest event from the heap.
func (sim *storeSimulation) pop() event {
	first := sim.events[0]
	last := len(sim.events) - 1
	sim.events[0] = sim.events[last]
	sim.events[last] = event{}
	sim.events = sim.events[:last]
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if sim.less(child, least) {
				least = child
			}
		}
		if least == i {
			return first
		}
		sim.events[i], sim.events[least] = sim.events[least], sim.events[i]
		i = least
	}
}

// runUntil runs the events up to a time, or up to the first failure.
func (sim *storeSimulation) runUntil(end time.Duration) {
	for sim.failure == nil && len(sim.events) > 0 && sim.events[0].at <= end {
		next := sim.pop()
		sim.now = next.at
		next.run()
		if sim.eventCount++; sim.eventCount > maxEvents {
			sim.fail("more than %d events", maxEvents)
		}
	}
	sim.now = end
}

// fail records the first failure of the run.
func (sim *storeSimulation) fail(format string, values ...any) {
	if sim.failure == nil {
		sim.failure = fmt.Errorf("at %v: "+format, append([]any{sim.now}, values...)...)
		sim.note("FAILURE: %v", sim.failure)
	}
}

// note adds an event to the hash of the trace, and prints it if TRACE is set.
func (sim *storeSimulation) note(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	for i := range len(line) {
		sim.traceHash = sim.traceHash*1099511628211 + uint64(line[i])
	}
	sim.traceHash += uint64(sim.now)
	if sim.tracing {
		fmt.Printf("%12v %s\n", sim.now, line)
	}
}

// randomDuration returns a random duration between least and most, both included.
func (sim *storeSimulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

// partition drops all messages in one direction for a duration.
func (sim *storeSimulation) partition(from, to string, duration time.Duration) {
	direction := [2]string{from, to}
	sim.partitions[direction]++
	sim.schedule(duration, func() { sim.partitions[direction]-- })
}

// transmit delivers a message after a random delay, or drops it.
func (sim *storeSimulation) transmit(from, to string, deliver func()) {
	if sim.partitions[[2]string{from, to}] > 0 || sim.random.Float64() < sim.lossRate {
		return
	}
	delay := sim.randomDuration(time.Millisecond, 3*time.Millisecond)
	if sim.random.IntN(40) == 0 {
		delay = sim.randomDuration(time.Millisecond, 300*time.Millisecond)
	}
	sim.schedule(delay, deliver)
}

// view returns the agreed set of stores.
func (sim *storeSimulation) view() protocol.StoreView { return sim.control.Stores() }

// isMember reports whether a store is a member of the agreed view.
func (sim *storeSimulation) isMember(key placement.Key) bool {
	_, present := placement.MemberOf(sim.view(), key)
	return present
}

// storeOf returns the store whose disk has the key at present; nil if there is none.
func (sim *storeSimulation) storeOf(key placement.Key) *simulatedStore {
	for _, s := range sim.stores {
		if s.key() == key {
			return s
		}
	}
	return nil
}

// byIP returns the store at an address; nil if it was removed.
func (sim *storeSimulation) byIP(ip string) *simulatedStore {
	for _, s := range sim.stores {
		if s.ip == ip && !s.removed {
			return s
		}
	}
	return nil
}

// remaining lists the stores that have not been removed permanently.
func (sim *storeSimulation) remaining() []*simulatedStore {
	var list []*simulatedStore
	for _, s := range sim.stores {
		if !s.removed {
			list = append(list, s)
		}
	}
	return list
}

func (sim *storeSimulation) anyStore() *simulatedStore {
	list := sim.remaining()
	return list[sim.random.IntN(len(list))]
}

// runControl does the work of control at intervals: it evicts stores that timed out, admits new ones, and records that
// all members have reconciled and which stores are drained.
func (sim *storeSimulation) runControl() {
	sim.schedule(100*time.Millisecond, sim.runControl)
	view := sim.view()
	if joins := sim.table.Joins(sim.now, view, sim.admission); len(joins) > 0 {
		sim.command(statemachine.Command{Join: &statemachine.Join{Processes: joins}})
	}
	for _, member := range sim.table.Evictions(sim.now, view, nil) {
		sim.command(statemachine.Command{Evict: &statemachine.Evict{Node: member.Node, Incarnation: member.Incarnation}})
	}
	if sim.table.Reconciled(sim.now, view, sim.replicationFactor-1) {
		sim.command(statemachine.Command{Settle: &statemachine.Settle{Epoch: view.Epoch}})
	}
	for _, member := range sim.drainedMembers(view) {
		sim.command(statemachine.Command{Retired: &statemachine.Retired{
			Node: member.Node, Incarnation: member.Incarnation, Epoch: view.Epoch,
		}})
	}
}

// admission returns whether a store may join, as control decides it.
func (sim *storeSimulation) admission(process protocol.Process) liveness.Admission {
	switch {
	case !sim.control.MayJoin(process):
		return liveness.NotAdmitted
	case sim.control.Retirement(process.Node) == statemachine.RetirementCompleted:
		return liveness.AdmittedAfterDelay
	}
	return liveness.Admitted
}

// drainedMembers lists the retiring members that are drained. With bugRetireEarly, that is all retiring members.
func (sim *storeSimulation) drainedMembers(view protocol.StoreView) []protocol.StoreMember {
	if sim.bug != bugRetireEarly {
		return sim.table.Drained(sim.now, view)
	}
	var list []protocol.StoreMember
	for _, member := range view.Members {
		if member.State == protocol.StoreRetiring {
			list = append(list, member)
		}
	}
	return list
}

// command applies a command to control's state, and sends a new view to the stores that control reaches.
func (sim *storeSimulation) command(command statemachine.Command) statemachine.StoreOutcome {
	order, err := command.Encode()
	if err != nil {
		panic(err)
	}
	sim.commandIndex++
	before := sim.view()
	outcome, err := statemachine.DecodeOutcome(sim.control.Apply(sim.commandIndex, order))
	if err != nil {
		panic(err)
	}
	view := sim.view()
	if !view.Newer(before) {
		return outcome.Store
	}
	sim.note("view %d: %s", view.Epoch, describeView(view))
	for _, s := range sim.remaining() {
		generation := s.generation
		sim.transmit(controlName, s.node, func() {
			if s.generation == generation {
				s.do(func() { s.machine.InstallView(view) })
			}
		})
	}
	return outcome.Store
}

func describeView(view protocol.StoreView) string {
	text := ""
	for _, member := range view.Members {
		text += fmt.Sprintf(" %s %d", placement.KeyOf(member.Process), member.State)
	}
	return text
}

// poll sends this store's report to control, and requests the view and a lease, at intervals.
func (s *simulatedStore) poll() {
	sim := s.sim
	sent, generation, process := sim.now, s.generation, s.process()
	report := s.machine.Report()
	sim.transmit(s.node, controlName, func() {
		sim.table.Observe(liveness.Contact{Process: process, Ready: true, Batch: &report, At: sim.now})
		view := sim.view()
		grantee, present := placement.MemberOf(view, placement.KeyOf(process))
		member := present && grantee.Process == process
		sim.transmit(controlName, s.node, func() {
			if s.generation == generation {
				s.do(func() {
					s.machine.InstallView(view)
					s.machine.GrantLease(view.Epoch, member, sent+liveness.StoreLease-leaseMargin)
				})
			}
		})
	})
	s.later(pollInterval, s.poll)
}

// toleratesLoss reports whether the next loss has to be tolerated: all stores are up and members, and control has
// agreed that they have reconciled in the newest view.
func (sim *storeSimulation) toleratesLoss() bool {
	view := sim.view()
	remaining := sim.remaining()
	for _, s := range remaining {
		m := s.machine
		if !s.up || s.paused || m.reconciledEpoch != view.Epoch || !sim.isMember(s.key()) {
			return false
		}
	}
	return view.Settled && len(remaining) == len(view.Members)
}

// describe returns a text with each store's state of a batch job.
func (sim *storeSimulation) describe(id string) string {
	text := fmt.Sprintf("\nepoch %d", sim.view().Epoch)
	for _, s := range sim.stores {
		m := s.machine
		text += fmt.Sprintf("\n%s up %v paused %v removed %v member %v",
			s.key(), s.up, s.paused, s.removed, sim.isMember(s.key()))
		text += fmt.Sprintf(" epoch %d reconciled %v (%d) may act %v departed %v owner %q",
			m.view.Epoch, m.reconciled, m.reconciledEpoch, m.MayAct(), m.departures.stores, m.owners[id])
		if j := m.jobs[id]; j != nil {
			text += fmt.Sprintf(" version %x owned %v replicated %v handed over %v durable %d/%d committed %d of %d ended %v",
				uint64(j.version), j.owned, j.replicated, j.handedOver, j.durableResults, len(j.results),
				j.committedResults, len(j.items), j.ended)
			for _, p := range j.replicas {
				text += " " + string(placement.KeyOf(p))
			}
			text += fmt.Sprintf(" peers %+v", j.peers)
		}
	}
	return text
}

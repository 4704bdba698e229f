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

// A simulation of several stores, seeded and in virtual time: links that lose, delay and reorder messages, and
// control, which is the real state machine of the store membership and the real judgement of liveness in one process
// that never fails. All randomness comes from the seed.

const (
	leaseMargin    = 100 * time.Millisecond // as in internal/batch/server
	pollInterval   = 400 * time.Millisecond
	cancelDeadline = 3 * time.Second // cancel-ms
	maxClockSkew   = time.Second     // of a store's time of day, at most
	controlName    = "control"

	// maxEvents is the most events of a run: more are a storm of messages. Usual are 10,000.
	maxEvents = 100_000
)

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// storeSimulation is one run.
type storeSimulation struct {
	seed         uint64
	random       *simulation.Rand
	now          time.Duration
	events       []event
	order        int
	eventCount   int // events
	copies       int
	retention    time.Duration // of batch jobs
	segment      int64         // bytes
	tokenLimit   int64         // of queued tokens, 0 for none
	stores       []*simulatedStore
	incarnations int // of disks, given out so far
	control      *statemachine.StateMachine
	table        *liveness.Table
	commandIndex uint64
	clients      *clients
	lossRate     float64
	partitions   map[[2]string]int
	faultsEnded  bool
	bug          string
	tracing      bool
	traceHash    uint64 // over all that was noted
	failure      error
}

func newStoreSimulation(seed uint64, count, copies int, bug string) *storeSimulation {
	w := &storeSimulation{
		seed: seed, random: simulation.NewRand(seed), copies: copies, retention: time.Hour, segment: 4000,
		control: statemachine.New(), table: liveness.New(), partitions: map[[2]string]int{},
		bug: bug, tracing: os.Getenv("TRACE") != "",
	}
	w.clients = &clients{sim: w, jobs: map[string]*clientJob{}}
	w.table.SetLeadership(0, 1, true)
	for range count {
		w.addStore()
	}
	w.schedule(0, w.runControl)
	return w
}

// setRetention sets for how long batch jobs are kept, at all stores, as the settings of a deployment do.
func (w *storeSimulation) setRetention(status time.Duration) {
	w.retention = status
	for _, s := range w.stores {
		s.machine.options.Retention = status + 2*maxClockSkew
	}
}

// addStore starts a store on an empty disk.
func (w *storeSimulation) addStore() *simulatedStore {
	number := len(w.stores) + 1
	s := newSimulatedStore(w, "store-"+strconv.Itoa(number), "ip-"+strconv.Itoa(number), "zone-"+strconv.Itoa(number%3+1))
	w.stores = append(w.stores, s)
	s.start()
	return s
}

// schedule has a function called after a delay.
func (w *storeSimulation) schedule(delay time.Duration, run func()) {
	w.order++
	w.events = append(w.events, event{at: w.now + delay, order: w.order, run: run})
	w.siftUp(len(w.events) - 1)
}

func (w *storeSimulation) less(i, j int) bool {
	a, b := &w.events[i], &w.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// siftUp restores the heap of events after one was added.
func (w *storeSimulation) siftUp(i int) {
	for i > 0 && w.less(i, (i-1)/2) {
		w.events[i], w.events[(i-1)/2] = w.events[(i-1)/2], w.events[i]
		i = (i - 1) / 2
	}
}

// pop removes the earliest event from the heap.
func (w *storeSimulation) pop() event {
	first := w.events[0]
	last := len(w.events) - 1
	w.events[0] = w.events[last]
	w.events[last] = event{}
	w.events = w.events[:last]
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if w.less(child, least) {
				least = child
			}
		}
		if least == i {
			return first
		}
		w.events[i], w.events[least] = w.events[least], w.events[i]
		i = least
	}
}

func (w *storeSimulation) runUntil(end time.Duration) {
	for w.failure == nil && len(w.events) > 0 && w.events[0].at <= end {
		next := w.pop()
		w.now = next.at
		next.run()
		if w.eventCount++; w.eventCount > maxEvents {
			w.fail("a storm of messages")
		}
	}
	w.now = end
}

// fail records the first failure of the run.
func (w *storeSimulation) fail(format string, values ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{w.now}, values...)...)
		w.note("FAILURE: %v", w.failure)
	}
}

// note adds an event to the hash of the trace, and prints it if TRACE is set.
func (w *storeSimulation) note(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	for i := range len(line) {
		w.traceHash = w.traceHash*1099511628211 + uint64(line[i])
	}
	w.traceHash += uint64(w.now)
	if w.tracing {
		fmt.Printf("%12v %s\n", w.now, line)
	}
}

// randomDuration draws a duration between two, both included.
func (w *storeSimulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// partition loses all messages in one direction for a while.
func (w *storeSimulation) partition(from, to string, duration time.Duration) {
	direction := [2]string{from, to}
	w.partitions[direction]++
	w.schedule(duration, func() { w.partitions[direction]-- })
}

// transmit delivers a message after a delay, or loses it.
func (w *storeSimulation) transmit(from, to string, deliver func()) {
	if w.partitions[[2]string{from, to}] > 0 || w.random.Float64() < w.lossRate {
		return
	}
	delay := w.randomDuration(time.Millisecond, 3*time.Millisecond)
	if w.random.IntN(40) == 0 {
		delay = w.randomDuration(time.Millisecond, 300*time.Millisecond)
	}
	w.schedule(delay, deliver)
}

// view returns the agreed set of stores.
func (w *storeSimulation) view() protocol.StoreView { return w.control.Stores() }

func (w *storeSimulation) isMember(key placement.Key) bool {
	_, present := placement.MemberOf(w.view(), key)
	return present
}

func (w *storeSimulation) storeOf(key placement.Key) *simulatedStore {
	for _, s := range w.stores {
		if s.key() == key {
			return s
		}
	}
	return nil
}

func (w *storeSimulation) byIP(ip string) *simulatedStore {
	for _, s := range w.stores {
		if s.ip == ip && !s.removed {
			return s
		}
	}
	return nil
}

// remaining lists the stores that are not removed for good.
func (w *storeSimulation) remaining() []*simulatedStore {
	var list []*simulatedStore
	for _, s := range w.stores {
		if !s.removed {
			list = append(list, s)
		}
	}
	return list
}

func (w *storeSimulation) anyStore() *simulatedStore {
	list := w.remaining()
	return list[w.random.IntN(len(list))]
}

// runControl does what control does: stores that timed out are evicted, new ones join, drained ones are noted as
// such.
func (w *storeSimulation) runControl() {
	w.schedule(100*time.Millisecond, w.runControl)
	view := w.view()
	if joins := w.table.Joins(w.now, view, w.admission); len(joins) > 0 {
		w.command(statemachine.Command{Join: &statemachine.Join{Processes: joins}})
	}
	for _, member := range w.table.Evictions(w.now, view, nil) {
		w.command(statemachine.Command{Evict: &statemachine.Evict{Node: member.Node, Incarnation: member.Incarnation}})
	}
	if w.table.Reconciled(w.now, view, w.copies-1) {
		w.command(statemachine.Command{Settle: &statemachine.Settle{Epoch: view.Epoch}})
	}
	for _, member := range w.drainedMembers(view) {
		w.command(statemachine.Command{Retired: &statemachine.Retired{
			Node: member.Node, Incarnation: member.Incarnation, Epoch: view.Epoch,
		}})
	}
}

// admission reports whether a store may join, as control does.
func (w *storeSimulation) admission(process protocol.Process) liveness.Admission {
	switch {
	case !w.control.MayJoin(process):
		return liveness.NotAdmitted
	case w.control.Retirement(process.Node) == statemachine.RetirementCompleted:
		return liveness.AdmittedAfterDelay
	}
	return liveness.Admitted
}

// drainedMembers lists the retiring members that may be taken away.
func (w *storeSimulation) drainedMembers(view protocol.StoreView) []protocol.StoreMember {
	if w.bug != bugRetireEarly {
		return w.table.Drained(w.now, view)
	}
	var list []protocol.StoreMember
	for _, member := range view.Members {
		if member.State == protocol.StoreRetiring {
			list = append(list, member)
		}
	}
	return list
}

// command changes the set, and sends the new view to the stores that control reaches.
func (w *storeSimulation) command(command statemachine.Command) statemachine.StoreOutcome {
	order, err := command.Encode()
	if err != nil {
		panic(err)
	}
	w.commandIndex++
	before := w.view()
	outcome, err := statemachine.DecodeOutcome(w.control.Apply(w.commandIndex, order))
	if err != nil {
		panic(err)
	}
	view := w.view()
	if !view.Newer(before) {
		return outcome.Store
	}
	w.note("view %d: %s", view.Epoch, describeView(view))
	for _, s := range w.remaining() {
		generation := s.generation
		w.transmit(controlName, s.node, func() {
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

// poll reports to control, and asks it for the view and a lease.
func (s *simulatedStore) poll() {
	w := s.sim
	sent, generation, process := w.now, s.generation, s.process()
	report := s.machine.Report()
	w.transmit(s.node, controlName, func() {
		w.table.Observe(liveness.Contact{Process: process, Ready: true, Batch: &report, At: w.now})
		view := w.view()
		grantee, present := placement.MemberOf(view, placement.KeyOf(process))
		member := present && grantee.Process == process
		w.transmit(controlName, s.node, func() {
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
func (w *storeSimulation) toleratesLoss() bool {
	view := w.view()
	there := w.remaining()
	for _, s := range there {
		m := s.machine
		if !s.up || s.paused || m.reconciledEpoch != view.Epoch || !w.isMember(s.key()) {
			return false
		}
	}
	return view.Settled && len(there) == len(view.Members)
}

// describe returns what each store knows of a batch job.
func (w *storeSimulation) describe(id string) string {
	text := fmt.Sprintf("\nepoch %d", w.view().Epoch)
	for _, s := range w.stores {
		m := s.machine
		text += fmt.Sprintf("\n%s up %v paused %v removed %v member %v",
			s.key(), s.up, s.paused, s.removed, w.isMember(s.key()))
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

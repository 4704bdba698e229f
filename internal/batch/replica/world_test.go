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

// This file owns a simulated world for machines: time, links that lose, delay and reorder, and the control side, which is
// the real set of stores and the real judgement of who is up, in one process that never fails. All chance follows from a seed.

const (
	worldLeaseMargin = 100 * time.Millisecond // as the server has it
	worldPoll        = 400 * time.Millisecond
	worldCancel      = 3 * time.Second // cancel-ms
	worldSkew        = time.Second     // of a store's time of day, at most
	controlName      = "control"

	// mostEvents is how many events a world may have: more are a storm of messages. Usual are 10,000.
	mostEvents = 100_000
)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type world struct {
	seed    uint64
	random  *simulation.Rand
	now     time.Duration
	events  []event
	order   int
	played  int // events
	copies  int
	status  time.Duration // for which a batch job is kept from its first send
	segment int64         // bytes
	bound   int64         // on waiting tokens, 0: none
	stores  []*store
	lives   int // incarnations given out
	control *statemachine.Machine
	table   *liveness.Table
	orders  uint64
	clients *clients
	loss    float64
	cuts    map[[2]string]int
	calm    bool
	plant   string
	traced  bool
	traces  uint64 // a sum over all that was noted
	failure error
}

func newWorld(seed uint64, count, copies int, plant string) *world {
	w := &world{
		seed: seed, random: simulation.NewRand(seed), copies: copies, status: time.Hour, segment: 4000,
		control: statemachine.New(), table: liveness.New(), cuts: map[[2]string]int{},
		plant: plant, traced: os.Getenv("TRACE") != "",
	}
	w.clients = &clients{world: w, jobs: map[string]*clientJob{}}
	w.table.Lead(0, 1, true)
	for range count {
		w.addStore()
	}
	w.after(0, w.authority)
	return w
}

// keepFor sets how long batch jobs are kept, for all stores as the settings of a deployment do.
func (w *world) keepFor(status time.Duration) {
	w.status = status
	for _, s := range w.stores {
		s.machine.options.Retention = status + 2*worldSkew
	}
}

// addStore starts a store on an empty disk.
func (w *world) addStore() *store {
	number := len(w.stores) + 1
	s := newStore(w, "store-"+strconv.Itoa(number), "ip-"+strconv.Itoa(number), "zone-"+strconv.Itoa(number%3+1))
	w.stores = append(w.stores, s)
	s.start()
	return s
}

func (w *world) after(delay time.Duration, run func()) {
	w.order++
	w.events = append(w.events, event{at: w.now + delay, order: w.order, run: run})
	w.up(len(w.events) - 1)
}

func (w *world) less(i, j int) bool {
	a, b := &w.events[i], &w.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (w *world) up(i int) {
	for i > 0 && w.less(i, (i-1)/2) {
		w.events[i], w.events[(i-1)/2] = w.events[(i-1)/2], w.events[i]
		i = (i - 1) / 2
	}
}

func (w *world) pop() event {
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

func (w *world) runUntil(end time.Duration) {
	for w.failure == nil && len(w.events) > 0 && w.events[0].at <= end {
		next := w.pop()
		w.now = next.at
		next.run()
		if w.played++; w.played > mostEvents {
			w.fail("a storm of messages")
		}
	}
	w.now = end
}

func (w *world) fail(format string, values ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{w.now}, values...)...)
		w.note("FAILURE: %v", w.failure)
	}
}

// note takes part of what happens into the world's sum, and prints it where TRACE is set.
func (w *world) note(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	for i := range len(line) {
		w.traces = w.traces*1099511628211 + uint64(line[i])
	}
	w.traces += uint64(w.now)
	if w.traced {
		fmt.Printf("%12v %s\n", w.now, line)
	}
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// cut lets nothing through in one direction, for a while.
func (w *world) cut(from, to string, duration time.Duration) {
	direction := [2]string{from, to}
	w.cuts[direction]++
	w.after(duration, func() { w.cuts[direction]-- })
}

// carry delivers a message after a delay, or not.
func (w *world) carry(from, to string, deliver func()) {
	if w.cuts[[2]string{from, to}] > 0 || w.random.Float64() < w.loss {
		return
	}
	delay := w.between(time.Millisecond, 3*time.Millisecond)
	if w.random.IntN(40) == 0 {
		delay = w.between(time.Millisecond, 300*time.Millisecond)
	}
	w.after(delay, deliver)
}

// view gives the agreed set of stores.
func (w *world) view() protocol.StoreView { return w.control.Stores() }

func (w *world) isMember(key placement.Key) bool {
	_, present := placement.MemberOf(w.view(), key)
	return present
}

func (w *world) storeOf(key placement.Key) *store {
	for _, s := range w.stores {
		if s.key() == key {
			return s
		}
	}
	return nil
}

func (w *world) byIP(ip string) *store {
	for _, s := range w.stores {
		if s.ip == ip && !s.gone {
			return s
		}
	}
	return nil
}

// there lists the stores that are not gone for good.
func (w *world) there() []*store {
	var list []*store
	for _, s := range w.stores {
		if !s.gone {
			list = append(list, s)
		}
	}
	return list
}

func (w *world) anyStore() *store {
	list := w.there()
	return list[w.random.IntN(len(list))]
}

// authority is what control does: silent stores leave the set, new ones join it, emptied ones are told to be so.
func (w *world) authority() {
	w.after(100*time.Millisecond, w.authority)
	view := w.view()
	if joins := w.table.Joins(w.now, view, w.admission); len(joins) > 0 {
		w.command(statemachine.Command{Join: &statemachine.Join{Processes: joins}})
	}
	for _, member := range w.table.Evictions(w.now, view, nil) {
		w.command(statemachine.Command{Evict: &statemachine.Evict{Node: member.Node, Incarnation: member.Incarnation}})
	}
	if w.table.Settled(w.now, view, w.copies-1) {
		w.command(statemachine.Command{Settle: &statemachine.Settle{Epoch: view.Epoch}})
	}
	for _, member := range w.emptied(view) {
		w.command(statemachine.Command{Retired: &statemachine.Retired{Node: member.Node, Incarnation: member.Incarnation, Epoch: view.Epoch}})
	}
}

// admission tells whether a store may join, as control does.
func (w *world) admission(process protocol.Process) liveness.Admission {
	switch {
	case !w.control.MayJoin(process):
		return liveness.Refused
	case w.control.Retirement(process.Node) == statemachine.RetirementCompleted:
		return liveness.AdmittedLater
	}
	return liveness.Admitted
}

// emptied gives the members that may be taken away.
func (w *world) emptied(view protocol.StoreView) []protocol.StoreMember {
	if w.plant != plantRetireEarly {
		return w.table.Emptied(w.now, view)
	}
	var list []protocol.StoreMember
	for _, member := range view.Members {
		if member.State == protocol.StoreRetiring {
			list = append(list, member)
		}
	}
	return list
}

// command changes the set, and pushes the new one to those that are in touch.
func (w *world) command(command statemachine.Command) statemachine.StoreOutcome {
	order, err := command.Encode()
	if err != nil {
		panic(err)
	}
	w.orders++
	before := w.view()
	outcome, err := statemachine.DecodeOutcome(w.control.Apply(w.orders, order))
	if err != nil {
		panic(err)
	}
	view := w.view()
	if !view.Newer(before) {
		return outcome.Store
	}
	w.note("view %d: %s", view.Epoch, describeView(view))
	for _, s := range w.there() {
		s := s
		generation := s.generation
		w.carry(controlName, s.node, func() {
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

// poll asks control for the view and the right to act.
func (s *store) poll() {
	w := s.world
	sent, generation, process := w.now, s.generation, s.process()
	report := s.machine.Report()
	w.carry(s.node, controlName, func() {
		w.table.Observe(liveness.Heard{Process: process, Ready: true, Batch: &report, At: w.now})
		view := w.view()
		grantee, present := placement.MemberOf(view, placement.KeyOf(process))
		member := present && grantee.Process == process
		w.carry(controlName, s.node, func() {
			if s.generation == generation {
				s.do(func() {
					s.machine.InstallView(view)
					s.machine.GrantLease(view.Epoch, member, sent+liveness.StoreLease-worldLeaseMargin)
				})
			}
		})
	})
	s.later(worldPoll, s.poll)
}

// settled tells whether the next loss is borne: all stores are up and members, and control has agreed that they stand whole in the
// newest view.
func (w *world) settled() bool {
	view := w.view()
	there := w.there()
	for _, s := range there {
		m := s.machine
		if !s.up || s.frozen || m.reconciledEpoch != view.Epoch || !w.isMember(s.key()) {
			return false
		}
	}
	return view.Settled && len(there) == len(view.Members)
}

// describe tells what each store knows of a batch job.
func (w *world) describe(id string) string {
	text := fmt.Sprintf("\nepoch %d", w.view().Epoch)
	for _, s := range w.stores {
		m := s.machine
		text += fmt.Sprintf("\n%s up %v frozen %v gone %v member %v epoch %d settled %v (%d) allowed %v departed %v directory %q", s.key(),
			s.up, s.frozen, s.gone, w.isMember(s.key()), m.view.Epoch, m.reconciled, m.reconciledEpoch, m.MayAct(), m.departures.stores, m.owners[id])
		if h := m.jobs[id]; h != nil {
			text += fmt.Sprintf(" version %x owner %v whole %v handed %v durable %d/%d shown %d of %d ended %v", uint64(h.version), h.owned, h.replicated,
				h.handedOver, h.durableResults, len(h.results), h.committedResults, len(h.items), h.ended)
			for _, p := range h.replicas {
				text += " " + string(placement.KeyOf(p))
			}
			text += fmt.Sprintf(" peers %+v", h.peers)
		}
	}
	return text
}

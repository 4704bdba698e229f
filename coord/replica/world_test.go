package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// historyMachine remembers all orders that it applied.
type historyMachine struct{ orders []string }

func (m *historyMachine) Apply(index uint64, order []byte) []byte {
	m.orders = append(m.orders, string(order))
	return []byte(fmt.Sprint(len(m.orders)))
}

func (m *historyMachine) Snapshot() []byte { return []byte(strings.Join(m.orders, "\n")) }

func (m *historyMachine) Restore(snapshot []byte) error {
	m.orders = nil
	if len(snapshot) > 0 {
		m.orders = strings.Split(string(snapshot), "\n")
	}
	return nil
}

// simulatedDisk keeps what was synced; a write under way is whole or torn when power goes.
type simulatedDisk struct {
	snapshot []byte
	records  [][]byte
	bytes    int
	syncs    int
	written  int
	shadow   *recovered // what a start would find
}

func (d *simulatedDisk) empty() bool { return d.snapshot == nil }

func (d *simulatedDisk) write(records [][]byte, whole []byte) {
	d.syncs++
	if whole != nil {
		d.snapshot, d.records, d.bytes = whole, nil, 0
		d.written += len(whole)
		d.shadow = mustRecover(whole, nil)
		return
	}
	for _, record := range records {
		d.bytes += len(record)
		d.written += len(record)
		if err := d.shadow.replay(record); err != nil {
			panic(err)
		}
	}
	d.records = append(d.records, records...)
}

func mustRecover(snapshot []byte, records [][]byte) *recovered {
	state, err := recoverState(snapshot, records)
	if err != nil {
		panic(err)
	}
	return state
}

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulatedNode is a machine of the world.
type simulatedNode struct {
	world   *world
	name    string
	address string
	disk    *simulatedDisk // nil: a machine without one
	core    *core
	machine *historyMachine
	life    int // counts starts; events of earlier lives are dropped
	up      bool
	frozen  bool
	syncing bool
	stalled bool // the disk answers nothing
	slow    int  // the disk takes this many times as long
	full    bool // the disk refuses writes
	ailing  bool // it has refused one
	inbox   []func()
	waits   []func() bool
	torn    func() // what a loss of power during the sync leaves
	gone    bool
}

// acknowledgement is an order whose caller was told that it holds.
type acknowledgement struct {
	at    time.Duration
	index uint64 // highest index acknowledged so far
}

// world is machines, links and disks in virtual time.
type world struct {
	random    *rand.Rand
	seed      uint64
	limits    limits
	now       time.Duration
	queue     eventQueue
	sequence  int
	nodes     []*simulatedNode
	seeds     []string
	tolerance int
	unordered bool // links reorder, lose and repeat packets
	syncTime  time.Duration
	plant     string // a bug of the harness that the checks must find

	cuts     map[[2]string]bool // from address, to address
	resets   map[[2]string]int  // counts resets of connections
	lastAt   map[[2]string]time.Duration
	applied  map[uint64]string // index: order of the entry
	views    map[uint64]string
	acked    map[string]uint64
	ackLine  []acknowledgement
	onAck    func(n *simulatedNode, id string)
	messages int
	events   []string
}

func newWorld(seed uint64, machines, tolerance int) *world {
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 77)),
		seed:      seed,
		tolerance: tolerance,
		limits:    usualLimits,
		syncTime:  time.Millisecond,
		cuts:      make(map[[2]string]bool),
		resets:    make(map[[2]string]int),
		lastAt:    make(map[[2]string]time.Duration),
		applied:   make(map[uint64]string),
		views:     make(map[uint64]string),
		acked:     make(map[string]uint64),
	}
	for i := 0; i < machines; i++ {
		w.addNode(true)
	}
	for i := 0; i < min(3, machines); i++ {
		w.seeds = append(w.seeds, w.nodes[i].address)
	}
	return w
}

func (w *world) addNode(disk bool) *simulatedNode {
	number := len(w.nodes)
	n := &simulatedNode{world: w, name: fmt.Sprintf("n%d", number), address: fmt.Sprintf("10.0.0.%d:70", number)}
	if disk {
		n.disk = &simulatedDisk{}
	}
	w.nodes = append(w.nodes, n)
	return n
}

// failure is what a broken check panics with.
type failure string

func (w *world) failf(format string, arguments ...any) {
	for _, argument := range arguments {
		if already, ok := argument.(failure); ok {
			panic(already)
		}
	}
	tail := w.events
	if len(tail) > 60 && os.Getenv("TRACE") == "" {
		tail = tail[len(tail)-60:]
	}
	panic(failure(fmt.Sprintf("seed %d at %v: ", w.seed, w.now) +
		fmt.Sprintf(format, arguments...) + "\n" + strings.Join(tail, "\n")))
}

func (w *world) note(format string, arguments ...any) {
	w.events = append(w.events, fmt.Sprintf("%10v ", w.now)+fmt.Sprintf(format, arguments...))
}

func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, &event{at: w.now + delay, order: w.sequence, run: run})
}

// runUntil plays events to a moment.
func (w *world) runUntil(moment time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= moment {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.run()
	}
	w.now = moment
}

// runWhile plays events until the condition holds, and tells whether it does before the limit.
func (w *world) runWhile(limit time.Duration, waiting func() bool) bool {
	end := w.now + limit
	for waiting() {
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return false
		}
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.run()
	}
	return true
}

// start starts the process of a machine.
func (n *simulatedNode) start(bootstrap bool) {
	w := n.world
	n.life++
	n.up, n.frozen, n.syncing, n.inbox, n.torn = true, false, false, nil, nil
	n.waits, n.ailing = nil, false
	n.machine = &historyMachine{}
	options := coreOptions{
		self:      view.Member{Node: n.name, Address: n.address},
		disk:      n.disk != nil,
		tolerance: w.tolerance,
		limits:    w.limits,
		seeds:     w.currentSeeds(bootstrap),
		machine:   n.machine,
		random:    rand.New(rand.NewPCG(w.random.Uint64(), 1)),
		life:      w.random.Uint64(),
		onApply:   n.applied,
		onView:    n.adopted,
		report: func(event string, fields ...any) {
			w.note("%s %s %v", n.name, event, fields)
		},
	}
	var found *recovered
	var genesis *view.View
	if n.disk != nil && !n.disk.empty() {
		if w.plant == plantForget {
			n.disk.forget()
		}
		found = mustRecover(n.disk.snapshot, n.disk.records)
	} else {
		options.self.Incarnation = fmt.Sprintf("%x", w.random.Uint64())
		if w.plant == plantWipedVotes {
			bootstrap = true
		}
		if bootstrap {
			first := view.Genesis(w.seeds)
			genesis = &first
			for _, seed := range w.seeds {
				if seed == n.address && n.disk != nil {
					options.self.Incarnation = view.GenesisIncarnation
				}
			}
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

// Bugs that the harness can plant.
const (
	plantForget     = "votes are forgotten at a restart"
	plantSkipRepair = "a proposer doesn't repair the accepted value"
	plantServeEarly = "a view serves before the prefix is copied"
	plantWipedVotes = "a wiped machine keeps its vote"
	plantShortChain = "a chain acknowledges with too few disks"
	plantOnlyDuels  = "no bug, but frequent duels"
	plantStaleRead  = "reads are answered without proof of the epoch"
)

// forget takes the votes off a disk.
func (d *simulatedDisk) forget() {
	var kept [][]byte
	for _, record := range d.records {
		if record[0] != recordBallots {
			kept = append(kept, record)
		}
	}
	d.records = kept
	var saved checkpoint
	if err := decodeGob(d.snapshot, &saved); err != nil {
		panic(err)
	}
	saved.Durable = view.Durable{View: saved.Durable.View}
	d.snapshot = encodeGob(saved)
	d.shadow = mustRecover(d.snapshot, d.records)
}

// plantBefore spoils what a node does next.
func (n *simulatedNode) plantBefore() {
	switch n.world.plant {
	case plantServeEarly:
		if n.core.inChain() && !n.core.acceptor.Wedged() {
			n.core.synced = n.core.epoch()
		}
	case plantShortChain:
		n.core.tolerance = 0
	case plantStaleRead:
		n.core.fresh.epochAt = n.world.now
	}
}

// currentSeeds is what the operator's list shows: the first ones at first, later any three.
func (w *world) currentSeeds(bootstrap bool) []string {
	if bootstrap {
		return w.seeds
	}
	var addresses []string
	for _, n := range w.nodes {
		if n.disk != nil && !n.gone {
			addresses = append(addresses, n.address)
		}
	}
	w.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(3, len(addresses))]
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
	if n.disk != nil && n.disk.bytes > 16<<10 {
		n.core.rewrite = true
	}
	if n.ailing {
		n.core.takeMessages()
		return
	}
	n.plantBefore()
	records, whole := n.core.takeRecords()
	if len(records) == 0 && whole == nil {
		n.finish()
		return
	}
	if n.full {
		n.world.note("the disk of %s refuses a write", n.name)
		n.ailing = true
		n.core.takeMessages()
		return
	}
	n.syncing = true
	life := n.life
	n.torn = func() {
		if whole != nil {
			if w.random.IntN(2) == 0 {
				n.disk.write(nil, whole)
			}
			return
		}
		n.disk.write(records[:w.random.IntN(len(records)+1)], nil)
	}
	duration := w.syncTime/2 + time.Duration(w.random.Int64N(int64(w.syncTime)))
	w.after(duration*time.Duration(max(n.slow, 1)), func() { n.synced(life, records, whole) })
}

// refuseWrites has the disk take no bytes for a while. As Node does, the process then goes on from what
// the disk holds.
func (n *simulatedNode) refuseWrites(down time.Duration) {
	n.full = true
	n.world.after(down, func() {
		n.full = false
		if !n.ailing || !n.up {
			return
		}
		n.ailing = false
		n.core.reopened(n.world.now, mustRecover(n.disk.snapshot, n.disk.records))
		n.flush()
	})
}

func (n *simulatedNode) synced(life int, records [][]byte, whole []byte) {
	if n.life != life || !n.up {
		return
	}
	if n.frozen || n.stalled {
		n.world.after(5*time.Millisecond, func() { n.synced(life, records, whole) })
		return
	}
	n.disk.write(records, whole)
	n.torn = nil
	n.syncing = false
	n.finish()
	n.drain()
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
	return len(n.core.records) > 0 && n.disk != nil, n.core.rewrite && n.disk != nil
}

func (w *world) deliver(from *simulatedNode, m envelope) {
	var to *simulatedNode
	for _, n := range w.nodes {
		if n.address == m.to.Address {
			to = n
		}
	}
	if to == nil || !to.up {
		return
	}
	w.messages++
	pair := [2]string{from.address, to.address}
	delay := time.Millisecond/2 + time.Duration(w.random.Int64N(int64(time.Millisecond)))
	if w.unordered {
		if w.random.IntN(50) == 0 {
			return
		}
		if w.random.IntN(10) == 0 {
			delay += time.Duration(w.random.Int64N(int64(50 * time.Millisecond)))
		}
		if w.random.IntN(50) == 0 {
			w.after(delay+time.Duration(w.random.Int64N(int64(2*time.Second))), func() { w.arrive(from, to, to.life, m) })
		}
	} else {
		at := max(w.now+delay, w.lastAt[pair])
		w.lastAt[pair] = at
		delay = at - w.now
	}
	life, resets := to.life, w.resets[pair]
	w.after(delay, func() {
		if resets == w.resets[pair] {
			w.arrive(from, to, life, m)
		}
	})
}

func (w *world) arrive(from, to *simulatedNode, life int, m envelope) {
	if to.life != life || !to.up || w.cuts[[2]string{from.address, to.address}] {
		return
	}
	if promise, ok := m.body.(view.Promise); ok && w.plant == plantSkipRepair {
		promise.Accepted = nil
		m.body = promise
	}
	sender := from.core.self
	if m.to.Incarnation != "" && !m.to.Same(to.core.self) {
		actual := to.core.self
		from.handle(func() { from.core.stranger(w.now, actual) })
		return
	}
	to.handle(func() { to.core.step(w.now, sender, m.body) })
}

// kill ends a process; what was being written is kept in part.
func (n *simulatedNode) kill() {
	if !n.up {
		return
	}
	n.world.note("%s killed", n.name)
	n.up = false
	n.life++
	if n.torn != nil {
		n.torn()
		n.torn = nil
	}
}

func (n *simulatedNode) wipe() {
	n.kill()
	n.world.note("%s loses its disk", n.name)
	n.disk = &simulatedDisk{}
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

// applied checks that no two different orders stand at one index.
func (n *simulatedNode) applied(entry chain.Entry, outcome chain.Outcome, repeated bool) {
	w := n.world
	order := entry.ID + "=" + string(entry.Order)
	if earlier, known := w.applied[entry.Index]; known && earlier != order {
		w.failf("%s applies %q at %d, another node %q", n.name, order, entry.Index, earlier)
	}
	w.applied[entry.Index] = order
}

// adopted checks that there is one view an epoch.
func (n *simulatedNode) adopted(v view.View) {
	w := n.world
	text := fmt.Sprintf("%v source %s at %d", v.Chain, v.Source.ID(), v.SourceEpoch)
	if earlier, known := w.views[v.Epoch]; known && earlier != text {
		w.failf("%s adopts in epoch %d %s, another node %s", n.name, v.Epoch, text, earlier)
	}
	w.views[v.Epoch] = text
}

// checkLeads checks that at most one member holds the singleton roles.
func (w *world) checkLeads() {
	var leader *simulatedNode
	for _, n := range w.nodes {
		if !n.up || n.frozen || n.core == nil {
			continue
		}
		if !n.leadsAt(w.now) {
			continue
		}
		if leader != nil {
			w.failf("%s and %s lead", leader.name, n.name)
		}
		leader = n
	}
}

func (n *simulatedNode) leadsAt(now time.Duration) bool {
	until, ok := n.core.leads()
	return ok && until > now
}

// propose sends an order through a node and notes the acknowledgement.
func (n *simulatedNode) propose(id string, done func(chain.Outcome)) {
	w := n.world
	life := n.life
	n.handle(func() {
		wait := &waiter{outcomes: make(chan chain.Outcome, 1)}
		n.waits = append(n.waits, func() bool {
			if len(wait.outcomes) == 0 {
				return false
			}
			outcome := <-wait.outcomes
			w.acknowledge(n, id, outcome)
			if done != nil {
				w.after(0, func() { done(outcome) })
			}
			return true
		})
		if n.life == life {
			n.core.submit(w.now, id, []byte(id), wait)
		}
	})
}

// tellWaiting tells the clients of this node what has come of their orders.
func (n *simulatedNode) tellWaiting() {
	n.waits = slices.DeleteFunc(n.waits, func(told func() bool) bool { return told() })
}

func (w *world) acknowledge(n *simulatedNode, id string, outcome chain.Outcome) {
	if _, known := w.acked[id]; known {
		return
	}
	w.acked[id] = outcome.Index
	index := outcome.Index
	if len(w.ackLine) > 0 {
		index = max(index, w.ackLine[len(w.ackLine)-1].index)
	}
	w.ackLine = append(w.ackLine, acknowledgement{at: w.now, index: index})
	w.checkDisks(id, outcome.Index)
	if w.onAck != nil {
		w.onAck(n, id)
	}
}

// checkDisks checks that the acknowledged order is on enough disks.
func (w *world) checkDisks(id string, index uint64) {
	copies := 0
	for _, n := range w.nodes {
		if n.disk == nil || n.disk.empty() {
			continue
		}
		state := n.disk.shadow
		base, _ := state.log.Base()
		if index <= base || index <= state.log.End() && state.log.Entry(index).ID == id {
			copies++
		}
	}
	if copies < w.tolerance+1 {
		w.failf("order %s acknowledged at %d is on %d disks", id, index, copies)
	}
}

// ackedBefore returns the highest index acknowledged before a moment.
func (w *world) ackedBefore(moment time.Duration) uint64 {
	position := sort.Search(len(w.ackLine), func(i int) bool { return w.ackLine[i].at >= moment })
	if position == 0 {
		return 0
	}
	return w.ackLine[position-1].index
}

// read does a linearizable read through a node and checks it.
func (n *simulatedNode) read() {
	w := n.world
	start := w.now
	life := n.life
	n.handle(func() {
		n.core.read(w.now, func(index uint64) {
			if n.life != life {
				return
			}
			if least := w.ackedBefore(start); index < least {
				w.failf("%s reads at %d what was acknowledged to %d before", n.name, index, least)
			}
		})
	})
}

// checkFresh checks what all nodes claim of their freshness.
func (w *world) checkFresh() {
	for _, n := range w.nodes {
		if !n.up || n.core == nil {
			continue
		}
		since, proven := n.core.freshSince()
		if !proven {
			continue
		}
		applied, _ := n.core.state.Applied()
		if least := w.ackedBefore(since); applied < least {
			w.failf("%s claims freshness since %v with %d applied, %d was acknowledged", n.name, since, applied, least)
		}
	}
}

// serving returns nodes that run, aren't frozen and don't refuse for their disk.
func (w *world) serving() []*simulatedNode {
	var nodes []*simulatedNode
	for _, n := range w.nodes {
		if n.up && !n.frozen && !n.ailing {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

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

// link is the way from one address to another.
type link struct{ from, to string }

// world is machines, links and disks in virtual time.
type world struct {
	random     *rand.Rand
	seed       uint64
	limits     limits
	keepOrders int   // that machines remember; 0: all
	compactAt  int64 // bytes of the disk's log at which it is compacted
	now        time.Duration
	queue      eventQueue
	sequence   int
	nodes      []*simulatedNode
	seeds      []string
	tolerance  int
	syncTime   time.Duration
	unordered  bool // messages overtake, repeat and get lost
	plant      plant
	cuts       map[link]int // how many cuts are on a link
	holding    bool         // what was sent over a cut link arrives after the cut, as from the kernel's buffers
	held       map[link][]func()
	resets     map[link]int // counts resets of connections
	lastAt     map[link]time.Duration
	applied    map[uint64]string // index: order of the entry
	views      map[uint64]string
	acked      map[string]uint64
	callers    map[string]*callers      // of each order
	decidedAt  map[uint64]time.Duration // epoch: when it was first adopted
	lostDisks  []lostDisk
	onlyOnce   bool           // no caller sends an order twice
	copies     map[string]int // of prefixes, by receiver and epoch
	ackLine    []acknowledgement
	onAck      func(n *simulatedNode, id string)
	onCopy     func(from, to *simulatedNode) // a copy of a prefix is on its way
	messages   int
	copied     int // bytes of copies
	recoveries int // starts from a disk that held something
	events     []string
}

func newWorld(seed uint64, machines, tolerance int) *world {
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 77)),
		seed:      seed,
		limits:    defaultLimits,
		compactAt: 16 << 10,
		tolerance: tolerance,
		syncTime:  time.Millisecond,
		cuts:      make(map[link]int),
		held:      make(map[link][]func()),
		resets:    make(map[link]int),
		lastAt:    make(map[link]time.Duration),
		applied:   make(map[uint64]string),
		views:     make(map[uint64]string),
		acked:     make(map[string]uint64),
		callers:   make(map[string]*callers),
		decidedAt: make(map[uint64]time.Duration),
		copies:    make(map[string]int),
	}
	for i := 0; i < machines; i++ {
		w.addNode(true)
	}
	for i := 0; i < min(3, machines); i++ {
		w.seeds = append(w.seeds, w.nodes[i].address)
	}
	return w
}

func startedWorld(seed uint64, machines, tolerance int) *world {
	w := newWorld(seed, machines, tolerance)
	for _, n := range w.nodes {
		w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), func() { n.start(true) })
	}
	return w
}

func (w *world) addNode(disk bool) *simulatedNode {
	number := len(w.nodes)
	n := &simulatedNode{world: w, name: fmt.Sprintf("n%d", number), address: fmt.Sprintf("10.0.0.%d:70", number)}
	if disk {
		n.disk = newSimulatedDisk(w.random.Uint64())
		n.diskSince = w.now
	}
	w.nodes = append(w.nodes, n)
	return n
}

// failure is what a broken check panics with.
type failure string

func (w *world) failf(format string, arguments ...any) {
	for _, argument := range arguments {
		if already, ok := argument.(failure); ok && strings.HasPrefix(string(already), "seed ") {
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

// cut cuts the way from one machine to another until mend is called.
func (w *world) cut(from, to *simulatedNode) (mend func()) {
	way := link{from.address, to.address}
	w.cuts[way]++
	return func() {
		if w.cuts[way] == 0 {
			return
		}
		if w.cuts[way]--; w.cuts[way] == 0 {
			w.release(way)
		}
	}
}

// mendAll ends all cuts.
func (w *world) mendAll() {
	for _, way := range w.cutLinks() {
		delete(w.cuts, way)
		w.release(way)
	}
}

// cutLinks lists the links that are cut, in an order that is the same in each run.
func (w *world) cutLinks() []link {
	var ways []link
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if way := (link{from.address, to.address}); w.cuts[way] > 0 {
				ways = append(ways, way)
			}
		}
	}
	return ways
}

// release lets arrive what a cut held up.
func (w *world) release(way link) {
	delete(w.cuts, way)
	held := w.held[way]
	delete(w.held, way)
	for _, arrive := range held {
		w.after(time.Millisecond/2, arrive)
	}
}

func (w *world) nodeAt(address string) *simulatedNode {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

func (w *world) deliver(from *simulatedNode, m envelope) {
	to := w.nodeAt(m.to.Address)
	if to == nil || !to.up {
		return
	}
	m, goes := w.plantMessage(from, to, m)
	if !goes {
		return
	}
	w.messages++
	w.countCopy(from, to, m)
	way := link{from.address, to.address}
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
		at := max(w.now+delay, w.lastAt[way])
		w.lastAt[way] = at
		delay = at - w.now
	}
	life, resets := to.life, w.resets[way]
	w.after(delay, func() {
		if resets == w.resets[way] {
			w.arrive(from, to, life, m)
		}
	})
}

// countCopy notes the bytes of a copy, and tells of it.
func (w *world) countCopy(from, to *simulatedNode, m envelope) {
	body, ok := m.body.(PrefixTransfer)
	if !ok {
		return
	}
	w.copied += copyBytes(body)
	w.checkCopies(to, body.Epoch)
	if w.onCopy != nil {
		act := w.onCopy
		w.onCopy = nil
		w.after(0, func() { act(from, to) })
	}
}

// copyBytes is about what a copy weighs.
func copyBytes(body PrefixTransfer) int {
	size := 0
	if body.Image != nil {
		size += len(body.Image.Machine)
		for _, outcome := range body.Image.Outcomes {
			size += len(outcome.ID) + len(outcome.Result)
		}
	}
	for _, entry := range body.Entries {
		size += len(entry.ID) + len(entry.Order)
	}
	return size
}

func (w *world) arrive(from, to *simulatedNode, life int, m envelope) {
	if to.life != life || !to.up {
		return
	}
	way := link{from.address, to.address}
	if w.cuts[way] > 0 {
		w.holdUp(way, from, to, m)
		return
	}
	sender := from.core.self
	if m.to.Incarnation != "" && !m.to.Same(to.core.self) {
		actual := to.core.self
		from.handle(func() { from.core.onIncarnationMismatch(w.now, actual) })
		return
	}
	to.handle(func() { to.core.step(w.now, sender, m.body) })
}

// holdUp keeps what is sent over a cut link for its end, where the world's kernels do and neither process ends before.
func (w *world) holdUp(way link, from, to *simulatedNode, m envelope) {
	if !w.holding {
		return
	}
	sent, received, resets := from.life, to.life, w.resets[way]
	w.held[way] = append(w.held[way], func() {
		if from.life == sent && resets == w.resets[way] {
			w.arrive(from, to, received, m)
		}
	})
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

// machines returns the machines with a disk that are still there.
func (w *world) machines() []*simulatedNode {
	var nodes []*simulatedNode
	for _, n := range w.nodes {
		if n.disk != nil && !n.gone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// newest returns the machine that runs and knows the newest view.
func (w *world) newest() *simulatedNode {
	var newest *simulatedNode
	for _, n := range w.machines() {
		if n.up && (newest == nil || n.core.epoch() > newest.core.epoch()) {
			newest = n
		}
	}
	return newest
}

// holder returns the machine whose disk is this member's, if it is still there.
func (w *world) holder(m view.Member) *simulatedNode {
	for _, n := range w.nodes {
		if n.disk != nil && !n.disk.empty() && n.disk.shadow.self.Same(m) {
			return n
		}
	}
	return nil
}

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
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// link is the way from one address to another.
type link struct{ from, to string }

// world is machines, links and disks in virtual time.
type simulatedCluster struct {
	random            *rand.Rand
	seed              uint64
	limits            limits
	retainedCommands  int   // that machines remember; 0: all
	checkpointAt      int64 // bytes of the disk's log at which it is compacted
	now               time.Duration
	queue             eventQueue
	sequence          int
	nodes             []*simulatedNode
	seeds             []string
	tolerance         int
	syncTime          time.Duration
	unordered         bool // messages overtake, repeat and get lost
	bug               injectedBug
	partitions        map[link]int // how many cuts are on a link
	bufferPartitioned bool         // what was sent over a cut link arrives after the cut, as from the kernel's buffers
	buffered          map[link][]func()
	resets            map[link]int // counts resets of connections
	lastArrival       map[link]time.Duration
	applied           map[uint64]string // index: order of the entry
	views             map[uint64]string
	acked             map[string]uint64
	callers           map[string]*callerRecord // of each order
	decidedAt         map[uint64]time.Duration // epoch: when it was first adopted
	lostDisks         []lostDisk
	noRetries         bool           // no caller sends an order twice
	transfers         map[string]int // of prefixes, by receiver and epoch
	ackHistory        []acknowledgement
	onAck             func(n *simulatedNode, id string)
	onTransfer        func(from, to *simulatedNode) // a copy of a prefix is on its way
	messages          int
	transferredBytes  int // bytes of copies
	recoveries        int // starts from a disk that held something
	trace             []string
}

func newSimulatedCluster(seed uint64, machines, tolerance int) *simulatedCluster {
	sim := &simulatedCluster{
		random:       rand.New(rand.NewPCG(seed, 77)),
		seed:         seed,
		limits:       defaultLimits,
		checkpointAt: 16 << 10,
		tolerance:    tolerance,
		syncTime:     time.Millisecond,
		partitions:   make(map[link]int),
		buffered:     make(map[link][]func()),
		resets:       make(map[link]int),
		lastArrival:  make(map[link]time.Duration),
		applied:      make(map[uint64]string),
		views:        make(map[uint64]string),
		acked:        make(map[string]uint64),
		callers:      make(map[string]*callerRecord),
		decidedAt:    make(map[uint64]time.Duration),
		transfers:    make(map[string]int),
	}
	for i := 0; i < machines; i++ {
		sim.addNode(true)
	}
	for i := 0; i < min(3, machines); i++ {
		sim.seeds = append(sim.seeds, sim.nodes[i].address)
	}
	return sim
}

func startSimulatedCluster(seed uint64, machines, tolerance int) *simulatedCluster {
	sim := newSimulatedCluster(seed, machines, tolerance)
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.random.Int64N(int64(300*time.Millisecond))), func() { n.start(true) })
	}
	return sim
}

func (sim *simulatedCluster) addNode(disk bool) *simulatedNode {
	number := len(sim.nodes)
	n := &simulatedNode{sim: sim, name: fmt.Sprintf("n%d", number), address: fmt.Sprintf("10.0.0.%d:70", number)}
	if disk {
		n.disk = newSimulatedDisk(sim.random.Uint64())
		n.diskSince = sim.now
	}
	sim.nodes = append(sim.nodes, n)
	return n
}

// failure is what a broken check panics with.
type failure string

func (sim *simulatedCluster) failf(format string, arguments ...any) {
	for _, argument := range arguments {
		if already, ok := argument.(failure); ok && strings.HasPrefix(string(already), "seed ") {
			panic(already)
		}
	}
	tail := sim.trace
	if len(tail) > 60 && os.Getenv("TRACE") == "" {
		tail = tail[len(tail)-60:]
	}
	panic(failure(fmt.Sprintf("seed %d at %v: ", sim.seed, sim.now) +
		fmt.Sprintf(format, arguments...) + "\n" + strings.Join(tail, "\n")))
}

func (sim *simulatedCluster) tracef(format string, arguments ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%10v ", sim.now)+fmt.Sprintf(format, arguments...))
}

func (sim *simulatedCluster) after(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, &scheduledEvent{at: sim.now + delay, sequence: sim.sequence, run: run})
}

// runUntil plays events to a moment.
func (sim *simulatedCluster) runUntil(moment time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= moment {
		next := heap.Pop(&sim.queue).(*scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = moment
}

// runWhile plays events until the condition holds, and tells whether it does before the limit.
func (sim *simulatedCluster) runWhile(limit time.Duration, waiting func() bool) bool {
	end := sim.now + limit
	for waiting() {
		if len(sim.queue) == 0 || sim.queue[0].at > end {
			sim.now = end
			return false
		}
		next := heap.Pop(&sim.queue).(*scheduledEvent)
		sim.now = next.at
		next.run()
	}
	return true
}

// currentSeeds is what the operator's list shows: the first ones at first, later any three.
func (sim *simulatedCluster) currentSeeds(bootstrap bool) []string {
	if bootstrap {
		return sim.seeds
	}
	var addresses []string
	for _, n := range sim.nodes {
		if n.disk != nil && !n.removed {
			addresses = append(addresses, n.address)
		}
	}
	sim.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(3, len(addresses))]
}

// cut cuts the way from one machine to another until mend is called.
func (sim *simulatedCluster) partition(from, to *simulatedNode) (heal func()) {
	way := link{from.address, to.address}
	sim.partitions[way]++
	return func() {
		if sim.partitions[way] == 0 {
			return
		}
		if sim.partitions[way]--; sim.partitions[way] == 0 {
			sim.releaseBuffered(way)
		}
	}
}

// mendAll ends all cuts.
func (sim *simulatedCluster) healAll() {
	for _, way := range sim.partitionedLinks() {
		delete(sim.partitions, way)
		sim.releaseBuffered(way)
	}
}

// cutLinks lists the links that are cut, in an order that is the same in each run.
func (sim *simulatedCluster) partitionedLinks() []link {
	var ways []link
	for _, from := range sim.nodes {
		for _, to := range sim.nodes {
			if way := (link{from.address, to.address}); sim.partitions[way] > 0 {
				ways = append(ways, way)
			}
		}
	}
	return ways
}

// release lets arrive what a cut held up.
func (sim *simulatedCluster) releaseBuffered(way link) {
	delete(sim.partitions, way)
	held := sim.buffered[way]
	delete(sim.buffered, way)
	for _, arrive := range held {
		sim.after(time.Millisecond/2, arrive)
	}
}

func (sim *simulatedCluster) nodeAt(address string) *simulatedNode {
	for _, n := range sim.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

func (sim *simulatedCluster) deliver(from *simulatedNode, m envelope) {
	to := sim.nodeAt(m.to.Address)
	if to == nil || !to.up {
		return
	}
	m, goes := sim.injectIntoMessage(from, to, m)
	if !goes {
		return
	}
	sim.messages++
	sim.countTransfer(from, to, m)
	way := link{from.address, to.address}
	delay := time.Millisecond/2 + time.Duration(sim.random.Int64N(int64(time.Millisecond)))
	if sim.unordered {
		if sim.random.IntN(50) == 0 {
			return
		}
		if sim.random.IntN(10) == 0 {
			delay += time.Duration(sim.random.Int64N(int64(50 * time.Millisecond)))
		}
		if sim.random.IntN(50) == 0 {
			sim.after(delay+time.Duration(sim.random.Int64N(int64(2*time.Second))), func() { sim.arrive(from, to, to.incarnation, m) })
		}
	} else {
		at := max(sim.now+delay, sim.lastArrival[way])
		sim.lastArrival[way] = at
		delay = at - sim.now
	}
	incarnation, resets := to.incarnation, sim.resets[way]
	sim.after(delay, func() {
		if resets == sim.resets[way] {
			sim.arrive(from, to, incarnation, m)
		}
	})
}

// countCopy notes the bytes of a copy, and tells of it.
func (sim *simulatedCluster) countTransfer(from, to *simulatedNode, m envelope) {
	body, ok := m.body.(PrefixTransfer)
	if !ok {
		return
	}
	sim.transferredBytes += transferBytes(body)
	sim.checkTransfers(to, body.Epoch)
	if sim.onTransfer != nil {
		act := sim.onTransfer
		sim.onTransfer = nil
		sim.after(0, func() { act(from, to) })
	}
}

// copyBytes is about what a copy weighs.
func transferBytes(body PrefixTransfer) int {
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

func (sim *simulatedCluster) arrive(from, to *simulatedNode, incarnation int, m envelope) {
	if to.incarnation != incarnation || !to.up {
		return
	}
	way := link{from.address, to.address}
	if sim.partitions[way] > 0 {
		sim.buffer(way, from, to, m)
		return
	}
	sender := from.core.self
	if m.to.Incarnation != "" && !m.to.Same(to.core.self) {
		actual := to.core.self
		from.handle(func() { from.core.onIncarnationMismatch(sim.now, actual) })
		return
	}
	to.handle(func() { to.core.step(sim.now, sender, m.body) })
}

// holdUp keeps what is sent over a cut link for its end, where the world's kernels do and neither process ends before.
func (sim *simulatedCluster) buffer(way link, from, to *simulatedNode, m envelope) {
	if !sim.bufferPartitioned {
		return
	}
	sent, received, resets := from.incarnation, to.incarnation, sim.resets[way]
	sim.buffered[way] = append(sim.buffered[way], func() {
		if from.incarnation == sent && resets == sim.resets[way] {
			sim.arrive(from, to, received, m)
		}
	})
}

// serving returns nodes that run, aren't frozen and don't refuse for their disk.
func (sim *simulatedCluster) servingNodes() []*simulatedNode {
	var nodes []*simulatedNode
	for _, n := range sim.nodes {
		if n.up && !n.paused && !n.diskUnhealthy {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// machines returns the machines with a disk that are still there.
func (sim *simulatedCluster) members() []*simulatedNode {
	var nodes []*simulatedNode
	for _, n := range sim.nodes {
		if n.disk != nil && !n.removed {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// newest returns the machine that runs and knows the newest view.
func (sim *simulatedCluster) newestView() *simulatedNode {
	var newest *simulatedNode
	for _, n := range sim.members() {
		if n.up && (newest == nil || n.core.epoch() > newest.core.epoch()) {
			newest = n
		}
	}
	return newest
}

// holder returns the machine whose disk is this member's, if it is still there.
func (sim *simulatedCluster) ownerOf(m view.Member) *simulatedNode {
	for _, n := range sim.nodes {
		if n.disk != nil && !n.disk.empty() && n.disk.shadow.self.Same(m) {
			return n
		}
	}
	return nil
}

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

// link is one direction of the connection between two addresses.
type link struct{ from, to string }

// simulatedCluster is a set of machines with links and disks in virtual time. The seed determines all events: if the
// order of random draws changes, each seed gives a different run.
type simulatedCluster struct {
	random *rand.Rand
	seed   uint64
	bug    injectedBug
	limits limits
	seeds  []string // coordination addresses of the founders

	tolerance        int
	retainedCommands int           // number of commands that state machines keep; 0: all
	checkpointAt     int64         // size of the disk's log, in bytes, above which a checkpoint is written
	syncTime         time.Duration // average duration of a sync

	now      time.Duration
	queue    eventQueue
	sequence int // number of the last scheduled event
	nodes    []*simulatedNode

	unordered         bool                   // messages are reordered, duplicated and lost
	partitions        map[link]int           // number of faults that partition a link
	bufferPartitioned bool                   // messages on a partitioned link arrive later, as from TCP's buffers
	buffered          map[link][]func()      // deliver the buffered messages of partitioned links
	resets            map[link]int           // number of resets of the connection
	lastArrival       map[link]time.Duration // keeps the messages of a link in order

	// History of the run, for the checks.
	applied    map[uint64]string        // applied command by index
	views      map[uint64]string        // description of the adopted view by epoch
	decidedAt  map[uint64]time.Duration // when the view was first adopted, by epoch
	acked      map[string]uint64        // index of the acknowledged command by ID
	ackHistory []acknowledgement
	callers    map[string]*callerRecord // by command ID
	lostDisks  []lostDisk
	transfers  map[string]int // number of prefix transfers by receiver, incarnation and epoch
	noRetries  bool           // no caller proposes a command twice
	trace      []string
	onAck      func(n *simulatedNode, id string)
	onTransfer func(from, to *simulatedNode) // called once, when a prefix transfer is sent

	messages         int // number of messages sent
	transferredBytes int // bytes sent in prefix transfers
	recoveries       int // number of starts from a disk that wasn't empty
}

// newSimulatedCluster returns a cluster of machines with disks. The machines aren't started.
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
	for range machines {
		sim.addNode(true)
	}
	for i := range min(3, machines) {
		sim.seeds = append(sim.seeds, sim.nodes[i].address)
	}
	return sim
}

// startSimulatedCluster returns a new cluster whose machines start within 300 ms.
func startSimulatedCluster(seed uint64, machines, tolerance int) *simulatedCluster {
	sim := newSimulatedCluster(seed, machines, tolerance)
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.random.Int64N(int64(300*time.Millisecond))), func() { n.start(true) })
	}
	return sim
}

// addNode adds a machine, with or without a disk, and doesn't start it.
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

// failure is the panic value of a failed check: the seed, the time, the violation, and the trace.
type failure string

// failf ends the run by a panic with a failure. If one of the arguments already is a failure, that is the panic value.
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

// tracef adds a line to the trace.
func (sim *simulatedCluster) tracef(format string, arguments ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%10v ", sim.now)+fmt.Sprintf(format, arguments...))
}

// after schedules an event.
func (sim *simulatedCluster) after(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, &scheduledEvent{at: sim.now + delay, sequence: sim.sequence, run: run})
}

// runUntil executes the events up to a moment.
func (sim *simulatedCluster) runUntil(moment time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= moment {
		next := heap.Pop(&sim.queue).(*scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = moment
}

// runWhile executes events while the condition holds, and reports whether it stopped holding within the
// limit.
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

// currentSeeds returns the seeds for a starting process: the founders if it bootstraps the system, else any three
// machines.
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

// partition partitions the link from one machine to another until heal is called.
func (sim *simulatedCluster) partition(from, to *simulatedNode) (heal func()) {
	direction := link{from.address, to.address}
	sim.partitions[direction]++
	return func() {
		if sim.partitions[direction] == 0 {
			return
		}
		if sim.partitions[direction]--; sim.partitions[direction] == 0 {
			sim.releaseBuffered(direction)
		}
	}
}

// healAll ends all partitions.
func (sim *simulatedCluster) healAll() {
	for _, direction := range sim.partitionedLinks() {
		delete(sim.partitions, direction)
		sim.releaseBuffered(direction)
	}
}

// partitionedLinks returns the partitioned links, in the same order in each run of a seed.
func (sim *simulatedCluster) partitionedLinks() []link {
	var links []link
	for _, from := range sim.nodes {
		for _, to := range sim.nodes {
			if direction := (link{from.address, to.address}); sim.partitions[direction] > 0 {
				links = append(links, direction)
			}
		}
	}
	return links
}

// releaseBuffered ends the partition of a link and delivers the messages that it has delayed.
func (sim *simulatedCluster) releaseBuffered(direction link) {
	delete(sim.partitions, direction)
	arrivals := sim.buffered[direction]
	delete(sim.buffered, direction)
	for _, arrive := range arrivals {
		sim.after(time.Millisecond/2, arrive)
	}
}

// nodeAt returns the machine at an address, nil if there is none.
func (sim *simulatedCluster) nodeAt(address string) *simulatedNode {
	for _, n := range sim.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// deliver sends a message. Unless the run has unordered messages, it arrives within a few milliseconds.
func (sim *simulatedCluster) deliver(from *simulatedNode, m envelope) {
	to := sim.nodeAt(m.to.Address)
	if to == nil || !to.up {
		return
	}
	m, deliverable := sim.injectIntoMessage(from, to, m)
	if !deliverable {
		return
	}
	sim.messages++
	sim.countTransfer(from, to, m)
	direction := link{from.address, to.address}
	delay := time.Millisecond/2 + time.Duration(sim.random.Int64N(int64(time.Millisecond)))
	if sim.unordered {
		if sim.random.IntN(50) == 0 {
			return
		}
		if sim.random.IntN(10) == 0 {
			delay += time.Duration(sim.random.Int64N(int64(50 * time.Millisecond)))
		}
		if sim.random.IntN(50) == 0 {
			repeatDelay := delay + time.Duration(sim.random.Int64N(int64(2*time.Second)))
			sim.after(repeatDelay, func() { sim.arrive(from, to, to.incarnation, m) })
		}
	} else {
		at := max(sim.now+delay, sim.lastArrival[direction])
		sim.lastArrival[direction] = at
		delay = at - sim.now
	}
	incarnation, resets := to.incarnation, sim.resets[direction]
	sim.after(delay, func() {
		if resets == sim.resets[direction] {
			sim.arrive(from, to, incarnation, m)
		}
	})
}

// countTransfer counts the bytes of a prefix transfer and calls onTransfer.
func (sim *simulatedCluster) countTransfer(from, to *simulatedNode, m envelope) {
	body, ok := m.body.(PrefixTransfer)
	if !ok {
		return
	}
	sim.transferredBytes += transferBytes(body)
	sim.checkTransfers(to, body.Epoch)
	if sim.onTransfer != nil {
		callback := sim.onTransfer
		sim.onTransfer = nil
		sim.after(0, func() { callback(from, to) })
	}
}

// transferBytes returns the approximate size of a prefix transfer in bytes.
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

// arrive passes a message to its receiver, if the receiver is still the same process.
func (sim *simulatedCluster) arrive(from, to *simulatedNode, incarnation int, m envelope) {
	if to.incarnation != incarnation || !to.up {
		return
	}
	direction := link{from.address, to.address}
	if sim.partitions[direction] > 0 {
		sim.buffer(direction, from, to, m)
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

// buffer keeps a message on a partitioned link until the end of the partition, if the run simulates the buffers of the
// kernel. The message is lost if one of the processes ends before, or if the connection is reset.
func (sim *simulatedCluster) buffer(direction link, from, to *simulatedNode, m envelope) {
	if !sim.bufferPartitioned {
		return
	}
	sent, received, resets := from.incarnation, to.incarnation, sim.resets[direction]
	sim.buffered[direction] = append(sim.buffered[direction], func() {
		if from.incarnation == sent && resets == sim.resets[direction] {
			sim.arrive(from, to, received, m)
		}
	})
}

// servingNodes returns the nodes that run, aren't paused, and don't reject calls because of an unhealthy disk.
func (sim *simulatedCluster) servingNodes() []*simulatedNode {
	var nodes []*simulatedNode
	for _, n := range sim.nodes {
		if n.up && !n.paused && !n.diskUnhealthy {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// members returns the machines with a disk that weren't removed.
func (sim *simulatedCluster) members() []*simulatedNode {
	var nodes []*simulatedNode
	for _, n := range sim.nodes {
		if n.disk != nil && !n.removed {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// newestView returns the running machine that knows the newest view, or nil if none runs.
func (sim *simulatedCluster) newestView() *simulatedNode {
	var newest *simulatedNode
	for _, n := range sim.members() {
		if n.up && (newest == nil || n.core.epoch() > newest.core.epoch()) {
			newest = n
		}
	}
	return newest
}

// ownerOf returns the machine that has the disk of a member, or nil if the disk is lost.
func (sim *simulatedCluster) ownerOf(m view.Member) *simulatedNode {
	for _, n := range sim.nodes {
		if n.disk != nil && !n.disk.empty() && n.disk.shadow.self.Same(m) {
			return n
		}
	}
	return nil
}

// callersOf returns the record of a command's callers.
func (sim *simulatedCluster) callersOf(id string) *callerRecord {
	if sim.callers[id] == nil {
		sim.callers[id] = &callerRecord{}
	}
	return sim.callers[id]
}

package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node runs the protocol for one machine and holds its table of all machines. It is not safe for concurrent
// use. The times passed to it must not go backwards.
type Node struct {
	config      Config
	incarnation uint64 // of this machine; raised by each refutation
	left        bool   // Leave was called; the node sends and receives nothing any more
	random      *rand.Rand
	nextTick    time.Time
	rounds      int            // ticks so far, SWIM's protocol periods
	sequence    uint64         // sequence number of the last probe
	lastContact time.Time      // when the last message of any machine was received
	output      Output         // of the current step
	health      localHealth    // of this machine
	table       *table         // all known machines
	broadcasts  broadcastQueue // updates to be piggybacked

	// Failure detection.
	watches        map[string]*watch // by name of the predecessor
	indirectProbes []indirectProbe   // requested by others and not answered yet
	cachedPeers    peers             // derived from the table's current ring

	// Anti-entropy.
	hasSynced           bool                      // a Sync was received, which completes joining
	mismatches          map[string]digestMismatch // the last mismatch, by name of the other machine
	mismatchesUnderLoad int                       // mismatches during a heavy backlog since the last request
}

// New returns the node of a machine that knows no other machine yet. The first Tick is due at now.
func New(config Config, now time.Time) *Node {
	config = config.withDefaults()
	n := &Node{
		config:      config,
		incarnation: config.Incarnation,
		random:      rand.New(rand.NewPCG(config.RandomSeed, config.Incarnation)),
		table:       newTable(),
		watches:     make(map[string]*watch),
		mismatches:  make(map[string]digestMismatch),
		nextTick:    now,
		lastContact: now,
	}
	n.announce(now)
	return n
}

// Next returns the time at which Tick must be called next.
func (n *Node) Next() time.Time {
	return n.nextTick
}

// Self returns this machine with its current incarnation.
func (n *Node) Self() Update {
	state := Alive
	if n.left {
		state = Left
	}
	return Update{Member: n.config.Self, Incarnation: n.incarnation, State: state}
}

// Get returns the latest update of a machine, and false if the machine isn't known.
func (n *Node) Get(name string) (Update, bool) {
	return n.table.get(name)
}

// Members returns all machines that are alive or suspected, this one included, in the order of their names.
func (n *Node) Members() []Update {
	members := make([]Update, 0, len(n.table.entries))
	for _, known := range n.table.entries {
		if known.update.State.isPresent() {
			members = append(members, known.update)
		}
	}
	slices.SortFunc(members, compareByName)
	return members
}

// HealthScore returns the number of signs that this machine is unhealthy itself: 0 for a healthy one. Its
// timeouts are 1 + HealthScore times as long as configured.
func (n *Node) HealthScore() int {
	return n.health.score
}

// Isolated reports whether this machine has received nothing for so long that the others should have
// declared it dead, or are partitioned from it. A machine that knows no other present machine is not isolated.
func (n *Node) Isolated(now time.Time) bool {
	limit := n.config.HeartbeatTimeout + n.config.ConfirmationTimeout + n.config.SuspicionTimeout
	return len(n.table.entries)-len(n.table.departed) > 1 && now.Sub(n.lastContact) > limit
}

// SetSeeds replaces Config.Seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.config.Seeds = slices.Clone(seeds)
}

// Tick runs one protocol period: it sends heartbeats and a probe, checks the machines that this one watches,
// and declares suspects dead whose suspicion has timed out. Call it at the time that Next returns; a late call
// worsens this machine's health score.
func (n *Node) Tick(now time.Time) Output {
	if n.left {
		n.nextTick = now.Add(n.config.Interval)
		return n.takeOutput()
	}
	n.detectPause(now)
	n.nextTick = now.Add(n.config.Interval)
	n.rounds++
	n.sendHeartbeats()
	n.join()
	if n.rounds%reconnectRounds == 0 {
		n.reconnect()
	}
	n.probeLink(now)
	n.checkPredecessors(now)
	n.declareDead(now)
	n.table.purgeDeparted(now.Add(-n.config.DeadRetention))
	return n.takeOutput()
}

// Receive handles a message. address is the sender's address, to which replies are sent.
func (n *Node) Receive(now time.Time, address string, message Message) Output {
	if n.left || message.From == n.config.Self.Name {
		return n.takeOutput()
	}
	n.lastContact = now
	for _, update := range message.Updates {
		n.merge(update, now, message.Kind != Sync)
	}
	n.recordContact(message.From, now)
	n.requestRefutation(address, message)
	switch message.Kind {
	case Probe:
		n.onProbe(address, message)
	case ProbeReply:
		n.onProbeReply(now, address, message)
	case IndirectProbe:
		n.onIndirectProbe(now, address, message)
	case IndirectProbeReply:
		n.onIndirectProbeReply(now, message)
	case Join, SyncRequest:
		n.sendTable(address, message)
	case Sync:
		n.onSync(address, message)
	}
	return n.takeOutput()
}

// Leave informs the monitors and links that this machine shuts down as planned, so that it isn't suspected.
// The node sends and receives nothing afterwards.
func (n *Node) Leave(now time.Time) Output {
	if n.left {
		return Output{}
	}
	n.left = true
	n.broadcasts.add(n.Self())
	n.sendHeartbeats()
	for _, name := range n.peers().links {
		n.send(name, Message{Kind: Heartbeat, Updates: n.piggyback()})
	}
	n.table.merge(n.Self(), now)
	return n.takeOutput()
}

// takeOutput returns the output of the current step and resets it for the next one.
func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// send queues a message to a machine. It does nothing if the machine isn't known.
func (n *Node) send(name string, message Message) {
	known, ok := n.table.get(name)
	if ok {
		n.sendTo(name, known.Member.Address, message)
	}
}

// sendTo queues a message to an address. name is empty if only the address is known.
func (n *Node) sendTo(name, address string, message Message) {
	message.From = n.config.Self.Name
	message.Incarnation = n.incarnation
	n.output.Messages = append(n.output.Messages, Envelope{Name: name, Address: address, Message: message})
}

// sendHeartbeats sends a heartbeat to each monitor.
func (n *Node) sendHeartbeats() {
	for _, name := range n.peers().monitors {
		n.send(name, Message{Kind: Heartbeat, Updates: n.piggyback()})
	}
}

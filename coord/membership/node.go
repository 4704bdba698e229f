package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node is the view that one machine has of all. It must not be used by several goroutines at once.
type Node struct {
	config              Config
	incarnation         uint64
	left                bool
	random              *rand.Rand
	table               *table
	broadcasts          broadcastQueue
	nextTick            time.Time // of Tick
	sequence            uint64
	health              localHealth
	watches             map[string]*watch // of the predecessors
	indirectProbes      []indirectProbe
	cachedPeers         peers
	rounds              int
	mismatches          map[string]digestMismatch
	mismatchesUnderLoad int       // differing digests while there was much news
	hasSynced           bool      // a table has come from another machine
	lastContact         time.Time // when any message came
	output              Output
}

// New returns the node of a machine that knows nobody yet.
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

// Next returns when Tick is to be called.
func (n *Node) Next() time.Time {
	return n.nextTick
}

// Self returns this machine with its present incarnation.
func (n *Node) Self() Update {
	state := Alive
	if n.left {
		state = Left
	}
	return Update{Member: n.config.Self, Incarnation: n.incarnation, State: state}
}

// Get returns what is known of a machine.
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

// Health returns the number of signs of this machine's own bad health, 0 for a healthy one.
func (n *Node) HealthScore() int {
	return n.health.score
}

// Isolated tells whether this machine has heard nobody for so long that others must count it as dead or cut off.
// A machine that knows nobody else is not isolated.
func (n *Node) Isolated(now time.Time) bool {
	limit := n.config.HeartbeatTimeout + n.config.ConfirmationTimeout + n.config.SuspicionTimeout
	return len(n.table.entries)-len(n.table.departed) > 1 && now.Sub(n.lastContact) > limit
}

// SetSeeds replaces the addresses at which a machine may answer.
func (n *Node) SetSeeds(seeds []string) {
	n.config.Seeds = slices.Clone(seeds)
}

// Tick does what is due.
func (n *Node) Tick(now time.Time) Output {
	if n.left {
		n.nextTick = now.Add(n.config.Interval)
		return n.takeOutput()
	}
	n.detectPause(now)
	n.nextTick = now.Add(n.config.Interval)
	n.rounds++
	n.sendHeartbeats()
	n.probe(now)
	n.checkPredecessors(now)
	n.declareDead(now)
	n.table.purgeDeparted(now.Add(-n.config.DeadRetention))
	return n.takeOutput()
}

// Receive takes a message in. Address is where an answer goes.
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

// Leave tells the monitors and links that this machine ends as planned. Nothing else is sent afterwards.
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

// takeOutput returns what the present step led to.
func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// send sends a message to a machine that is known.
func (n *Node) send(name string, message Message) {
	known, ok := n.table.get(name)
	if ok {
		n.sendTo(name, known.Member.Address, message)
	}
}

// sendTo sends a message to an address.
func (n *Node) sendTo(name, address string, message Message) {
	message.From = n.config.Self.Name
	message.Incarnation = n.incarnation
	n.output.Messages = append(n.output.Messages, Envelope{Name: name, Address: address, Message: message})
}

// news returns what the next message is to spread.
func (n *Node) piggyback() []Update {
	return n.broadcasts.take(n.table.ring().Len())
}

// announce makes this machine known with its present incarnation.
func (n *Node) announce(now time.Time) {
	n.table.merge(n.Self(), now)
	n.broadcasts.add(n.Self())
}

// merge takes an update in, spreads it on and reports a change of state. A machine that wasn't known is only spread
// on if it is news: in a whole table it isn't, and all of it would be spread by all who receive it.
func (n *Node) merge(update Update, now time.Time, news bool) {
	if update.State < Alive || update.State > Left {
		return
	}
	if update.Member.Name == n.config.Self.Name {
		n.refute(update, now)
		return
	}
	old, newer := n.table.merge(update, now)
	if !newer {
		return
	}
	if news || old != 0 {
		n.broadcasts.add(update)
	}
	if update.State == Alive {
		n.recordRefutation(update.Member.Name, now)
	}
	if old != update.State {
		n.output.Changes = append(n.output.Changes, Change{Update: update, Old: old})
	}
}

// refute answers news of this machine that isn't true by a higher incarnation.
func (n *Node) refute(update Update, now time.Time) {
	isOwn := update.Incarnation == n.incarnation && update.State == Alive
	if update.Incarnation < n.incarnation || isOwn {
		return
	}
	if update.State == Suspect {
		n.health.worsen()
	}
	n.incarnation = update.Incarnation + 1
	n.announce(now)
}

// correct tells a machine that counts as dead, or as suspect, what is known of it, so that it refutes it.
func (n *Node) requestRefutation(address string, message Message) {
	known, ok := n.table.get(message.From)
	if !ok || known.State == Alive || message.Incarnation > known.Incarnation {
		return
	}
	if message.Kind == ProbeReply || message.Kind == IndirectProbeReply || message.Kind == Sync {
		return
	}
	n.sendTo(message.From, address, Message{Kind: ProbeReply, Digest: n.table.digest(), Updates: []Update{known}})
}

// sendHeartbeats sends a heartbeat to each monitor.
func (n *Node) sendHeartbeats() {
	for _, name := range n.peers().monitors {
		n.send(name, Message{Kind: Heartbeat, Updates: n.piggyback()})
	}
}

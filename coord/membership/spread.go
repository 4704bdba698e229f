package membership

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/ring"
)

// neighbours are the machines that one deals with, by a ring.
type peers struct {
	ring         *ring.Ring
	monitors     []string // which it sends heartbeats to
	predecessors []string // which it watches
	links        []string // which it exchanges news with besides
}

// neighbours returns the machines that this one deals with.
func (n *Node) peers() *peers {
	current := n.table.ring()
	if n.cachedPeers.ring == current {
		return &n.cachedPeers
	}
	self := n.config.Self.Name
	monitors := current.Successors(self, n.config.Monitors)
	isOther := func(name string) bool { return name != self && !slices.Contains(monitors, name) }
	n.cachedPeers = peers{
		ring:         current,
		monitors:     monitors,
		predecessors: current.Predecessors(self, n.config.Monitors),
		links:        current.OwnersFunc(self, n.config.Links, isOther),
	}
	return &n.cachedPeers
}

// probe asks one link, and now and then a machine that isn't present.
func (n *Node) probe(now time.Time) {
	n.join()
	if n.rounds%reconnectRounds == 0 {
		n.reconnect()
	}
	links := n.peers().links
	if len(links) == 0 {
		links = n.peers().monitors
	}
	if len(links) == 0 {
		return
	}
	n.sequence++
	n.health.recordProbe(n.sequence, now)
	target := links[n.rounds%len(links)]
	n.send(target, Message{Kind: Probe, Sequence: n.sequence, Digest: n.table.digest(), Updates: n.piggyback()})
}

// join asks a seed for the table until one has come, after a while less often.
func (n *Node) join() {
	if n.hasSynced || n.rounds > eagerJoinRounds && n.rounds%reconnectRounds != 0 {
		return
	}
	if seed := n.pickSeed(); seed != "" {
		n.sendTo("", seed, Message{Kind: Join, Updates: []Update{n.Self()}})
	}
}

// seed returns the address of one seed that isn't this machine, or an empty string.
func (n *Node) pickSeed() string {
	isSelf := func(address string) bool { return address == n.config.Self.Address }
	seeds := slices.DeleteFunc(slices.Clone(n.config.Seeds), isSelf)
	if len(seeds) == 0 {
		return ""
	}
	return seeds[n.random.IntN(len(seeds))]
}

// probeRemote asks a machine that counts as dead, or a seed that no machine present has as its address. If it
// answers, two systems that were cut from each other find together.
func (n *Node) reconnect() {
	present := make(map[string]bool)
	for _, name := range n.table.ring().Names() {
		present[n.table.entries[name].update.Member.Address] = true
	}
	addresses := slices.Clone(n.config.Seeds)
	for name := range n.table.departed {
		if known := n.table.entries[name].update; known.State == Dead {
			addresses = append(addresses, known.Member.Address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return present[address] })
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	address := addresses[n.random.IntN(len(addresses))]
	n.sendTo("", address, Message{Kind: Join, Updates: []Update{n.Self()}})
}

// answerProbe answers a probe.
func (n *Node) onProbe(address string, message Message) {
	reply := Message{Kind: ProbeReply, Sequence: message.Sequence, Digest: n.table.digest(), Updates: n.piggyback()}
	n.sendTo(message.From, address, reply)
	n.compareDigests(address, message)
}

// probeAnswered takes in the answer to a probe.
func (n *Node) onProbeReply(now time.Time, address string, message Message) {
	n.health.recordReply(message.Sequence, now, n.config.Interval)
	n.compareDigests(address, message)
}

// difference is that of two digests which were seen to differ.
type digestMismatch struct{ own, other uint64 }

// compare looks at the digest of another table. It asks for what differs where the same difference is seen twice, so
// that it isn't just news on its way; or now and then where there is so much news that spreading it takes long.
func (n *Node) compareDigests(address string, message Message) {
	seen := digestMismatch{own: n.table.digest(), other: message.Digest}
	if seen.own == seen.other {
		delete(n.mismatches, message.From)
		return
	}
	waiting := n.broadcasts.pending()
	if waiting > heavyBacklog {
		n.mismatchesUnderLoad++
	}
	isStable := waiting == 0 && n.mismatches[message.From] == seen
	if !isStable && n.mismatchesUnderLoad < mismatchesBeforeSync {
		n.recordMismatch(message.From, seen)
		return
	}
	n.mismatchesUnderLoad = 0
	delete(n.mismatches, message.From)
	n.sendTo(message.From, address, Message{Kind: SyncRequest, Digests: slices.Clone(n.table.digests[:])})
}

// remember keeps the difference to another machine's table.
func (n *Node) recordMismatch(name string, seen digestMismatch) {
	if len(n.mismatches) >= maxMismatches {
		clear(n.mismatches)
	}
	n.mismatches[name] = seen
}

// sendTable sends what another table lacks by its digests, in parts, or all. The last part carries the digests here,
// so that the other side can do the same.
func (n *Node) sendTable(address string, message Message) {
	updates := n.table.differingFrom(message.Digests)
	parts := slices.Collect(slices.Chunk(updates, maxSyncUpdates))
	for i, part := range parts {
		reply := Message{Kind: Sync, Updates: part}
		if i == len(parts)-1 && message.Kind == SyncRequest {
			reply.Digests = slices.Clone(n.table.digests[:])
		}
		n.sendTo(message.From, address, reply)
	}
}

// tableReceived takes in a part of another table, whose updates are merged already.
func (n *Node) onSync(address string, message Message) {
	n.hasSynced = true
	if len(message.Digests) != digestBuckets {
		return
	}
	for part := range slices.Chunk(n.table.differingFrom(message.Digests), maxSyncUpdates) {
		n.sendTo(message.From, address, Message{Kind: Sync, Updates: part})
	}
}

package scrub

import (
	"fmt"
	"slices"
	"time"
)

// Node scrubs one replica. It isn't safe for concurrent use.
type Node struct {
	config   Config
	store    Store
	peers    []string
	nextPeer int // index into peers, modulo their number
	// nextRead is the earliest time to read the next range, which BytesPerSecond and PassInterval determine.
	nextRead  time.Time
	cursor    string // first key of the next range
	passStart time.Time
	passes    int
	sequence  uint64      // sequence number of the last comparison
	pending   *comparison // comparison that waits for an answer, or nil
	output    Output      // output of the current step
}

// comparison is the comparison of a range that waits for a peer's answer.
type comparison struct {
	Compare
	peer     string
	entries  []Summary // this replica's entries when the Compare was sent
	deadline time.Time
}

// New returns the node of a replica. It compares nothing until SetPeers is called.
func New(config Config, store Store, now time.Time) *Node {
	return &Node{config: config.withDefaults(), store: store, nextRead: now, passStart: now}
}

// SetPeers replaces the names of the other replicas.
func (n *Node) SetPeers(peers []string) {
	n.peers = slices.Clone(peers)
	if n.pending != nil && !slices.Contains(n.peers, n.pending.peer) {
		n.pending = nil
	}
}

// NextTick returns the time at which Tick must be called next.
func (n *Node) NextTick() time.Time {
	if n.pending != nil {
		return n.pending.deadline
	}
	return n.nextRead
}

// Passes returns the number of completed passes over the store.
func (n *Node) Passes() int {
	return n.passes
}

// Tick performs the work that is due: it reads the next range and sends its digest to a peer.
func (n *Node) Tick(now time.Time) Output {
	if n.pending != nil && !now.Before(n.pending.deadline) {
		// No answer arrived in time, so the range is compared with another peer.
		n.pending = nil
		n.nextPeer++
	}
	if n.pending == nil && !now.Before(n.nextRead) {
		n.compareNext(now)
	}
	return n.takeOutput()
}

// Receive handles a message from a peer.
func (n *Node) Receive(now time.Time, from string, message any) Output {
	switch message := message.(type) {
	case Compare:
		n.handleCompare(from, message)
	case Summaries:
		n.handleSummaries(now, from, message)
	case Pull:
		n.push(from, message.Keys)
	case Push:
		for _, entry := range message.Entries {
			n.applyPushed(entry)
		}
	}
	return n.takeOutput()
}

// ReadRepair pulls a key from all peers. A reader calls it when it has found the value of the key corrupt. The output
// of a later Receive reports the repair.
func (n *Node) ReadRepair(key string) Output {
	n.report(key, Corrupt)
	for _, peer := range n.peers {
		n.send(peer, Pull{Keys: []string{key}})
	}
	return n.takeOutput()
}

// takeOutput returns the output of the current step and resets it.
func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// send adds a message for a peer to the output.
func (n *Node) send(to string, message any) {
	n.output.Messages = append(n.output.Messages, Envelope{To: to, Message: message})
}

// report adds a problem that isn't repaired to the output.
func (n *Node) report(key string, problem Problem) {
	n.output.Findings = append(n.output.Findings, Finding{Key: key, Problem: problem})
}

// reportStoreError adds an error of the store to the output.
func (n *Node) reportStoreError(key string, err error) {
	finding := Finding{Key: key, Problem: StoreFailed, Err: fmt.Errorf("scrub: %w", err)}
	n.output.Findings = append(n.output.Findings, finding)
}

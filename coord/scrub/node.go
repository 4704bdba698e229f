package scrub

import (
	"fmt"
	"slices"
	"time"
)

// Node scrubs one replica. It must not be used by several goroutines at once.
type Node struct {
	config   Config
	store    Store
	peers    []string
	nextPeer int // index into peers, modulo their number
	// nextRead is when the next range may be read, by the rate and the interval between passes.
	nextRead  time.Time
	cursor    string // the first key of the next range
	passStart time.Time
	passes    int
	sequence  uint64      // of the last comparison
	pending   *comparison // nil while no answer is awaited
	output    Output      // of the present step
}

// comparison is a range that waits for a peer's answer.
type comparison struct {
	Compare
	peer     string
	entries  []Summary // the node's own, as of the Compare
	deadline time.Time
}

// New returns the node of a replica, which does nothing until SetPeers.
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

// NextTick returns when Tick is to be called.
func (n *Node) NextTick() time.Time {
	if n.pending != nil {
		return n.pending.deadline
	}
	return n.nextRead
}

// Passes returns how often the whole store was compared.
func (n *Node) Passes() int {
	return n.passes
}

// Tick does what is due: it reads the next range and compares it with a peer.
func (n *Node) Tick(now time.Time) Output {
	if n.pending != nil && !now.Before(n.pending.deadline) {
		// Without an answer the range is compared again, with another peer.
		n.pending = nil
		n.nextPeer++
	}
	if n.pending == nil && !now.Before(n.nextRead) {
		n.compareNext(now)
	}
	return n.takeOutput()
}

// Receive handles a message of a peer.
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

// ReadRepair pulls a key from all peers, for a reader that found its value corrupt. That the entry was
// repaired is found in the output of a later Receive.
func (n *Node) ReadRepair(key string) Output {
	n.report(key, Corrupt)
	for _, peer := range n.peers {
		n.send(peer, Pull{Keys: []string{key}})
	}
	return n.takeOutput()
}

// takeOutput returns the output of the present step.
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

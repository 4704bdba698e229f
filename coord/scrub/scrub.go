package scrub

import (
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultBytesPerSecond = 256 << 10
	DefaultRangeEntries   = 128
	DefaultRangeBytes     = 256 << 10
	DefaultTimeout        = 2 * time.Second
	DefaultPassInterval   = 10 * time.Minute
)

const (
	// deliverBytes bounds the values in one Deliver in bytes, unless one alone is larger.
	maxPushBytes = 512 << 10
	// entryOverhead is what an entry counts in bytes besides its value.
	entryOverhead = 64
)

// Config adjusts a Node. Zero values take the defaults.
type Config struct {
	// BytesPerSecond bounds what is read for the scrub.
	BytesPerSecond int
	// RangeEntries and RangeBytes bound one range.
	RangeEntries int
	RangeBytes   int
	// Timeout is how long an answer is waited for.
	Timeout time.Duration
	// PassInterval is the least time from the start of one pass over the store to the next.
	PassInterval time.Duration
	// Settled returns the version up to which writes are on all replicas. Nil stands for all.
	StableVersion func() uint64
}

// withDefaults returns the configuration with all values set.
func (c Config) withDefaults() Config {
	setDefault(&c.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&c.RangeEntries, DefaultRangeEntries)
	setDefault(&c.RangeBytes, DefaultRangeBytes)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.PassInterval, DefaultPassInterval)
	if c.StableVersion == nil {
		c.StableVersion = func() uint64 { return ^uint64(0) }
	}
	return c
}

// setDefault sets a value that is zero.
func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Node scrubs one replica. It must not be used by several goroutines at once.
type Node struct {
	config    Config
	store     Store
	peers     []string
	nextPeer  int // of the peers
	nextRead  time.Time
	cursor    string // where the next range starts
	passStart time.Time
	passes    int
	sequence  uint64
	pending   *comparison
	output    Output
}

// comparison is a range that waits for another replica's answer.
type comparison struct {
	Compare
	peer     string
	stable   uint64
	entries  []Summary
	deadline time.Time
}

// New returns the node of a replica that knows no others yet.
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

// Next returns when Tick is to be called.
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

// Tick does what is due: it reads the next range and asks a replica about it.
func (n *Node) Tick(now time.Time) Output {
	if n.pending != nil && !now.Before(n.pending.deadline) {
		// No answer: the range is tried again, with another replica.
		n.pending = nil
		n.nextPeer++
	}
	if n.pending == nil && !now.Before(n.nextRead) {
		n.compareNext(now)
	}
	return n.takeOutput()
}

// Receive takes a message of another replica in.
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

// Mend fetches a key from all other replicas, for a reader that met a bad value. What a good copy changes is found in
// the output of a later Receive.
func (n *Node) ReadRepair(key string) Output {
	n.report(key, Corrupt)
	for _, peer := range n.peers {
		n.send(peer, Pull{Keys: []string{key}})
	}
	return n.takeOutput()
}

// takeOutput returns what the present step led to.
func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// send sends a message to a replica.
func (n *Node) send(to string, message any) {
	n.output.Messages = append(n.output.Messages, Envelope{To: to, Message: message})
}

// find reports a problem that isn't mended yet.
func (n *Node) report(key string, problem Problem) {
	n.output.Findings = append(n.output.Findings, Finding{Key: key, Problem: problem})
}

// failed reports an error of the store.
func (n *Node) reportStoreError(key string, err error) {
	finding := Finding{Key: key, Problem: StoreFailed, Err: fmt.Errorf("scrub: %w", err)}
	n.output.Findings = append(n.output.Findings, finding)
}

// read returns the summaries of a range: up to a key, and within the bounds of one range. It returns the first key
// after the range, empty for the end of all keys, and the bytes that it read.
func (n *Node) readRange(from, to string, stable uint64) (entries []Summary, until string, bytes int, err error) {
	until = to
	err = n.store.Scan(from, func(entry Entry) bool {
		if to != "" && entry.Key >= to {
			return false
		}
		if len(entries) >= n.config.RangeEntries || bytes >= n.config.RangeBytes {
			until = entry.Key
			return false
		}
		bytes += len(entry.Key) + len(entry.Value) + entryOverhead
		if entry.Version <= stable {
			entries = append(entries, summarize(entry))
		}
		return true
	})
	return entries, until, bytes, err
}

// compareNext reads the next range and asks a replica about it.
func (n *Node) compareNext(now time.Time) {
	if len(n.peers) == 0 {
		n.nextRead = now.Add(n.config.Timeout)
		return
	}
	stable := n.config.StableVersion()
	entries, until, bytes, err := n.readRange(n.cursor, "", stable)
	n.nextRead = now.Add(time.Duration(bytes) * time.Second / time.Duration(n.config.BytesPerSecond))
	if err != nil {
		n.reportStoreError(n.cursor, err)
		n.nextRead = now.Add(n.config.Timeout)
		return
	}
	n.sequence++
	n.pending = &comparison{
		Compare: Compare{
			Sequence:      n.sequence,
			From:          n.cursor,
			To:            until,
			StableVersion: stable,
			Digest:        digestOf(entries),
			Corrupt:       hasCorrupt(entries),
		},
		peer:     n.peers[n.nextPeer%len(n.peers)],
		stable:   stable,
		entries:  entries,
		deadline: now.Add(n.config.Timeout),
	}
	n.send(n.pending.peer, n.pending.Compare)
}

// hasBad tells whether one of the entries is bad.
func hasCorrupt(entries []Summary) bool {
	return slices.ContainsFunc(entries, func(entry Summary) bool { return entry.Corrupt })
}

// rangeDone goes on after a range that ended before a key, or starts the next pass.
func (n *Node) finishRange(now time.Time, until string) {
	n.pending = nil
	n.cursor = until
	if until != "" {
		return
	}
	n.passes++
	n.nextPeer++ // so that each range is compared with each replica in turn
	if next := n.passStart.Add(n.config.PassInterval); next.After(n.nextRead) {
		n.nextRead = next
	}
	n.passStart = latest(now, n.nextRead)
}

// latest returns the later of two times.
func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

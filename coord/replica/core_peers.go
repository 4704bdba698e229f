package replica

import (
	"maps"
	"slices"
	"sort"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// peer is what a core member knows of another one.
type peer struct {
	member         view.Member
	incarnation    uint64
	highestSeq     uint64        // highest heard in that life
	lastContact    time.Duration // its last heartbeat
	lastEcho       time.Duration // when the heartbeat was sent that it echoed last
	reachableSince time.Duration // in touch without a break since
	reachable      bool
	leaving        bool
	candidate      bool
	epoch          uint64
	prefixComplete bool // in that epoch
	reaches        map[string]bool
	confirmedAt    time.Duration // it hadn't promised a successor of the present epoch then
	viewSentAt     time.Duration // when the view was sent to it last
	viewSent       bool
}

// rememberedBeats is the number of rounds of heartbeats whose times are kept for echoes.
const heartbeatWindow = 64

const never = time.Duration(-1 << 62)

// freshness proves that no successor of the epoch was decided before a moment.
type stalenessProof struct {
	heartbeatSeq     uint64
	heartbeatSentAt  [heartbeatWindow]time.Duration
	pending          bool
	pendingAsOf      time.Duration // pending proof: epoch stood at this moment
	pendingIndex     uint64        // ... and all orders acknowledged before are at or below end
	currentAsOf      time.Duration // all orders acknowledged before this moment are applied here
	proven           bool
	epochConfirmedAt time.Duration // the present epoch stood at this moment
}

// resetPeers forgets all silence: used at a start and after a standstill of this process.
func (c *core) resetFailureDetector() {
	for _, p := range c.peers {
		p.lastContact = c.now
		p.lastEcho = c.now
		p.reachable = false
		p.reachableSince = c.now
	}
	for _, m := range c.acceptor.View.Voters {
		c.peerOf(m)
	}
}

func (c *core) peerOf(m view.Member) *peer {
	id := m.ID()
	p := c.peers[id]
	if p == nil {
		p = &peer{member: m, lastContact: c.now, lastEcho: c.now, reachableSince: c.now, confirmedAt: never, viewSentAt: never}
		c.peers[id] = p
	}
	if m.Node != "" {
		p.member.Node = m.Node
	}
	return p
}

// heard reports whether m is in touch both ways, or hasn't been silent long enough to be suspected.
func (c *core) alive(m view.Member) bool {
	if m.Same(c.self) {
		return true
	}
	p := c.peers[m.ID()]
	return p != nil && c.now-p.lastContact <= suspicionTimeout && c.now-p.lastEcho <= echoTimeout
}

// inTouch reports whether m was really heard, both ways, for some time.
func (c *core) reachable(m view.Member) bool {
	if m.Same(c.self) {
		return true
	}
	p := c.peers[m.ID()]
	return p != nil && p.reachable && c.alive(m) && c.now-p.reachableSince >= rejoinDelay
}

func (c *core) sinceContact(m view.Member) time.Duration {
	if m.Same(c.self) {
		return 0
	}
	if p := c.peers[m.ID()]; p != nil {
		return c.now - p.lastContact
	}
	return 0
}

func (c *core) isLeaving(m view.Member) bool {
	if m.Same(c.self) {
		return c.leaving
	}
	p := c.peers[m.ID()]
	return p != nil && p.leaving
}

// beat sends a round of heartbeats to voters and, from voters, to candidates.
func (c *core) sendHeartbeats(urgent bool) {
	if !c.hasDisk || c.epoch() == 0 {
		return
	}
	c.staleness.heartbeatSeq++
	c.staleness.heartbeatSentAt[c.staleness.heartbeatSeq%heartbeatWindow] = c.now
	reachable := c.reachableIDs()
	for _, m := range c.acceptor.View.Voters {
		c.sendHeartbeat(m, urgent, reachable)
	}
	if urgent || !c.isVoter() {
		return
	}
	for _, id := range sortedKeys(c.peers) {
		p := c.peers[id]
		if p.candidate && !c.acceptor.View.IsVoter(p.member) {
			if c.now-p.lastContact > replacementTimeout {
				delete(c.peers, id)
				continue
			}
			c.sendHeartbeat(p.member, false, reachable)
		}
	}
}

func (c *core) reachableIDs() []string {
	var ids []string
	for _, m := range c.acceptor.View.Voters {
		if p := c.peers[m.ID()]; p != nil && p.reachable && c.alive(m) {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

func (c *core) sendHeartbeat(m view.Member, urgent bool, reachable []string) {
	if m.Same(c.self) {
		return
	}
	p := c.peerOf(m)
	c.send(m, Heartbeat{
		Life:      c.incarnation,
		Seq:       c.staleness.heartbeatSeq,
		EchoLife:  p.incarnation,
		Echo:      p.highestSeq,
		Epoch:     c.epoch(),
		Whole:     c.syncedEpoch == c.epoch(),
		Wedged:    c.acceptor.Wedged(),
		Leaving:   c.leaving,
		Candidate: !c.isVoter(),
		Urgent:    urgent,
		Heard:     reachable,
	})
}

func (c *core) onHeartbeat(from view.Member, m Heartbeat) {
	if !c.hasDisk {
		return
	}
	if m.Epoch < c.epoch() {
		c.sendView(from)
	}
	if !c.acceptor.View.IsVoter(from) && !(m.Candidate && c.isVoter()) {
		return
	}
	p := c.peerOf(from)
	if p.incarnation != m.Life {
		p.incarnation, p.highestSeq, p.reachable = m.Life, 0, false
	}
	p.lastContact = c.now
	p.leaving, p.candidate = m.Leaving, m.Candidate
	p.epoch, p.prefixComplete = m.Epoch, m.Whole
	p.highestSeq = max(p.highestSeq, m.Seq)
	p.reaches = make(map[string]bool, len(m.Heard))
	for _, id := range m.Heard {
		p.reaches[id] = true
	}
	c.onEcho(p, m)
	c.checkDeparture()
	if m.Urgent {
		c.sendHeartbeat(from, false, c.reachableIDs())
	}
}

// takeEcho notes that the peer had heard this member's round of heartbeats Echo when it sent m.
func (c *core) onEcho(p *peer, m Heartbeat) {
	if m.EchoLife != c.incarnation || m.Echo == 0 || m.Echo > c.staleness.heartbeatSeq || c.staleness.heartbeatSeq-m.Echo >= heartbeatWindow {
		return
	}
	sentAt := c.staleness.heartbeatSentAt[m.Echo%heartbeatWindow]
	p.lastEcho = max(p.lastEcho, sentAt)
	if !p.reachable || c.now-p.reachableSince > 0 && !c.alive(p.member) {
		p.reachable = true
		p.reachableSince = c.now
	}
	if m.Epoch == c.epoch() && !m.Wedged {
		p.confirmedAt = max(p.confirmedAt, sentAt)
		c.confirmEpoch()
	}
}

// loseTouch notes which members have fallen silent, so that a return is seen as one.
func (c *core) expireReachability() {
	for _, p := range c.peers {
		if p.reachable && !c.alive(p.member) {
			p.reachable = false
		}
	}
}

// proveEpoch finds the latest moment at which a majority of the voters stood unwedged in the epoch.
func (c *core) confirmEpoch() {
	if c.acceptor.Wedged() || !c.inChain() || c.syncedEpoch != c.epoch() {
		return
	}
	confirmations := make([]time.Duration, 0, len(c.acceptor.View.Voters))
	for _, m := range c.acceptor.View.Voters {
		if m.Same(c.self) {
			confirmations = append(confirmations, c.now)
			continue
		}
		if p := c.peers[m.ID()]; p != nil && p.confirmedAt != never {
			confirmations = append(confirmations, p.confirmedAt)
		}
	}
	if len(confirmations) < c.acceptor.View.Majority() {
		return
	}
	sort.Slice(confirmations, func(i, j int) bool { return confirmations[i] > confirmations[j] })
	at := confirmations[c.acceptor.View.Majority()-1]
	c.staleness.epochConfirmedAt = max(c.staleness.epochConfirmedAt, at)
	if !c.staleness.pending && (!c.staleness.proven || at > c.staleness.currentAsOf) {
		c.staleness.pending, c.staleness.pendingAsOf, c.staleness.pendingIndex = true, at, c.log.LastIndex()
	}
	c.completeStalenessProof()
}

// settleFreshness completes the pending proof once everything up to its end is applied.
func (c *core) completeStalenessProof() {
	applied, _ := c.state.Applied()
	if !c.staleness.pending || applied < c.staleness.pendingIndex {
		return
	}
	c.staleness.pending = false
	c.staleness.proven = true
	c.staleness.currentAsOf = max(c.staleness.currentAsOf, c.staleness.pendingAsOf)
}

// freshSince returns the moment before which every acknowledged order is applied here.
func (c *core) currentAsOf() (time.Duration, bool) {
	since := never
	if c.staleness.proven {
		since = c.staleness.currentAsOf
	}
	if c.learner.proven {
		since = max(since, c.learner.currentAsOf)
	}
	return since, since != never
}

// leadState says whether this member may act as the holder of singleton roles.
type leaderLease struct {
	epoch     uint64        // last epoch in which this member was the head
	notBefore time.Duration // it may act from here on
}

// leads returns until when the member leads its epoch.
func (c *core) leaderLease() (until time.Duration, ok bool) {
	until, ok = c.headLease()
	return until, ok && c.now >= c.lease.notBefore
}

// heads returns until when the member is the proven head of its epoch, whoever may still act as an earlier one.
func (c *core) headLease() (until time.Duration, ok bool) {
	if !c.serving() || !c.acceptor.View.Head().Same(c.self) || c.leaving || c.staleness.epochConfirmedAt == never {
		return 0, false
	}
	until = c.staleness.epochConfirmedAt + leaderLeaseDuration
	return until, until > c.now
}

func (c *core) resetEpochConfirmation() {
	c.staleness.pending = false
	c.staleness.epochConfirmedAt = never
	for _, p := range c.peers {
		p.confirmedAt = never
	}
	if len(c.acceptor.View.Voters) == 1 {
		c.confirmEpoch()
	}
}

// members lists the core machines that this node knows.
func (c *core) members() []Peer {
	list := make([]Peer, 0, len(c.peers)+1)
	for _, m := range c.acceptor.View.Voters {
		list = append(list, Peer{Member: m, Voter: true, InChain: c.acceptor.View.InChain(m), Reachable: c.reachable(m)})
	}
	for _, id := range sortedKeys(c.peers) {
		if p := c.peers[id]; p.candidate && !c.acceptor.View.IsVoter(p.member) {
			list = append(list, Peer{Member: p.member, Reachable: c.reachable(p.member), Candidate: true})
		}
	}
	return list
}

// sortedKeys returns the keys of a map in an order that is the same in each run.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

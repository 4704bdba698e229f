package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// peer is the state that a member keeps about another member, taken from its heartbeats.
type peer struct {
	member      view.Member
	incarnation uint64 // of the peer's process
	highestSeq  uint64 // highest Seq of the heartbeats received from that incarnation

	lastContact    time.Duration // when its last heartbeat was received
	lastEcho       time.Duration // sending time of the newest heartbeat of this member that it has echoed
	reachable      bool          // both directions of the link have worked since reachableSince
	reachableSince time.Duration
	confirmedAt    time.Duration // it wasn't wedged in the current epoch until this moment; never: unknown

	// Contents of its last heartbeat.
	leaving        bool
	candidate      bool
	epoch          uint64
	prefixComplete bool            // it has the complete prefix of that epoch
	reaches        map[string]bool // IDs of the voters that it reaches

	viewSent   bool          // a view was sent to it
	viewSentAt time.Duration // when a view was last sent to it
}

// heartbeatWindow is the number of rounds of heartbeats whose sending times are kept for echoes. Without
// reads they span 12.8 s; each urgent round, which serves all waiting reads, also occupies one place. An echo of
// an older round is ignored.
const heartbeatWindow = 64

// heartbeatRounds numbers the rounds of heartbeats that this process has sent, and keeps their sending times.
type heartbeatRounds struct {
	seq    uint64
	sentAt [heartbeatWindow]time.Duration // of round n at n modulo heartbeatWindow
}

// contains reports whether the sending time of a round is still kept.
func (r *heartbeatRounds) contains(seq uint64) bool {
	return seq != 0 && seq <= r.seq && r.seq-seq < heartbeatWindow
}

// start begins a round.
func (r *heartbeatRounds) start(now time.Duration) {
	r.seq++
	r.sentAt[r.seq%heartbeatWindow] = now
}

// resetFailureDetector restarts the time-outs of every peer. It is called at a start, after the disk was reopened,
// and after a pause of this process, during which it handled no heartbeats.
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

// peerOf returns the state of peer m. It creates the state if there is none, with time-outs that start now.
func (c *core) peerOf(m view.Member) *peer {
	id := m.ID()
	p := c.peers[id]
	if p == nil {
		p = &peer{
			member:         m,
			lastContact:    c.now,
			lastEcho:       c.now,
			reachableSince: c.now,
			confirmedAt:    never,
			viewSentAt:     never,
		}
		c.peers[id] = p
	}
	if m.Node != "" {
		p.member.Node = m.Node
	}
	return p
}

// alive reports whether m isn't suspected: its heartbeats arrive, and echo heartbeats of this member, within the
// time-outs. A new member counts as alive until a time-out has passed without a heartbeat from it.
func (c *core) alive(m view.Member) bool {
	if m.Same(c.self) {
		return true
	}
	p := c.peers[m.ID()]
	return p != nil && c.now-p.lastContact <= suspicionTimeout && c.now-p.lastEcho <= echoTimeout
}

// contact returns the state of peer m if the link to it works both ways, else nil. Unlike alive, it excludes
// members from which no heartbeat was received yet, and this member itself.
func (c *core) contact(m view.Member) *peer {
	p := c.peers[m.ID()]
	if p == nil || !p.reachable || !c.alive(m) {
		return nil
	}
	return p
}

// reachable reports whether the link to m has worked both ways for rejoinDelay.
func (c *core) reachable(m view.Member) bool {
	if m.Same(c.self) {
		return true
	}
	p := c.contact(m)
	return p != nil && c.now-p.reachableSince >= rejoinDelay
}

// sinceContact returns the time since the last heartbeat from m. It returns zero for this member itself and for
// an unknown member, which therefore is never replaced for being unreachable.
func (c *core) sinceContact(m view.Member) time.Duration {
	if m.Same(c.self) {
		return 0
	}
	if p := c.peers[m.ID()]; p != nil {
		return c.now - p.lastContact
	}
	return 0
}

// isLeaving reports whether m has announced its departure.
func (c *core) isLeaving(m view.Member) bool {
	if m.Same(c.self) {
		return c.leaving
	}
	p := c.peers[m.ID()]
	return p != nil && p.leaving
}

// expireReachability marks suspected members as unreachable, so that rejoinDelay is counted from their return.
func (c *core) expireReachability() {
	for _, p := range c.peers {
		if p.reachable && !c.alive(p.member) {
			p.reachable = false
		}
	}
}

// members returns the machines with a disk that this node knows: the voters, then the candidates.
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

// sendHeartbeats sends a round of heartbeats to the voters. Unless the round is urgent, a voter also sends them to
// the candidates. An urgent round requests immediate answers, for reads that are waiting.
func (c *core) sendHeartbeats(urgent bool) {
	if !c.hasDisk || c.epoch() == 0 {
		return
	}
	c.heartbeats.start(c.now)
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

// reachableIDs returns the IDs of the voters that this member reaches.
func (c *core) reachableIDs() []string {
	var ids []string
	for _, m := range c.acceptor.View.Voters {
		if c.contact(m) != nil {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

// sendHeartbeat sends a heartbeat of the current round.
func (c *core) sendHeartbeat(m view.Member, urgent bool, reachable []string) {
	if m.Same(c.self) {
		return
	}
	p := c.peerOf(m)
	c.send(m, Heartbeat{
		Life:      c.incarnation,
		Seq:       c.heartbeats.seq,
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

// onHeartbeat handles a heartbeat. It sends the current view to a sender with an older view. Apart from that, it
// ignores heartbeats, except from voters and, if this member is a voter, from candidates.
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

// onEcho handles the echo in a heartbeat: when the peer sent m, it had received this member's round m.Echo. If the
// peer was in the current epoch and not wedged when it sent m, no successor of the epoch was decided with its vote
// before that round was sent.
func (c *core) onEcho(p *peer, m Heartbeat) {
	if m.EchoLife != c.incarnation || !c.heartbeats.contains(m.Echo) {
		return
	}
	sentAt := c.heartbeats.sentAt[m.Echo%heartbeatWindow]
	p.lastEcho = max(p.lastEcho, sentAt)
	// An echo of a round that is older than echoTimeout doesn't make the peer alive: reachableSince moves to now,
	// and rejoinDelay starts again.
	if !p.reachable || c.now-p.reachableSince > 0 && !c.alive(p.member) {
		p.reachable = true
		p.reachableSince = c.now
	}
	if m.Epoch == c.epoch() && !m.Wedged {
		p.confirmedAt = max(p.confirmedAt, sentAt)
		c.confirmEpoch()
	}
}

// sortedKeys returns the keys of a map in order, so that a simulation with one seed always takes the same
// course.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

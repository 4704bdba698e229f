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
	member     view.Member
	life       uint64
	seq        uint64        // highest heard in that life
	heardAt    time.Duration // its last heartbeat
	echoAt     time.Duration // when the heartbeat was sent that it echoed last
	heardSince time.Duration // in touch without a break since
	inTouch    bool
	leaving    bool
	candidate  bool
	epoch      uint64
	whole      bool // in that epoch
	heard      map[string]bool
	confirmed  time.Duration // it hadn't promised a successor of the present epoch then
	toldAt     time.Duration // when the view was sent to it last
	tellBefore bool
}

// rememberedBeats is the number of rounds of heartbeats whose times are kept for echoes.
const rememberedBeats = 64

const never = time.Duration(-1 << 62)

// freshness proves that no successor of the epoch was decided before a moment.
type freshness struct {
	seq     uint64
	sentAt  [rememberedBeats]time.Duration
	pending bool
	at      time.Duration // pending proof: epoch stood at this moment
	end     uint64        // ... and all orders acknowledged before are at or below end
	since   time.Duration // all orders acknowledged before this moment are applied here
	proven  bool
	epochAt time.Duration // the present epoch stood at this moment
}

// resetPeers forgets all silence: used at a start and after a standstill of this process.
func (c *core) resetPeers() {
	for _, p := range c.peers {
		p.heardAt = c.now
		p.echoAt = c.now
		p.inTouch = false
		p.heardSince = c.now
	}
	for _, m := range c.acceptor.View.Voters {
		c.peerOf(m)
	}
}

func (c *core) peerOf(m view.Member) *peer {
	id := m.ID()
	p := c.peers[id]
	if p == nil {
		p = &peer{member: m, heardAt: c.now, echoAt: c.now, heardSince: c.now, confirmed: never, toldAt: never}
		c.peers[id] = p
	}
	if m.Node != "" {
		p.member.Node = m.Node
	}
	return p
}

// heard reports whether m is in touch both ways, or hasn't been silent long enough to be suspected.
func (c *core) heard(m view.Member) bool {
	if m.Same(c.self) {
		return true
	}
	p := c.peers[m.ID()]
	return p != nil && c.now-p.heardAt <= silenceLimit && c.now-p.echoAt <= echoLimit
}

// inTouch reports whether m was really heard, both ways, for some time.
func (c *core) inTouch(m view.Member) bool {
	if m.Same(c.self) {
		return true
	}
	p := c.peers[m.ID()]
	return p != nil && p.inTouch && c.heard(m) && c.now-p.heardSince >= returnSettle
}

func (c *core) silentFor(m view.Member) time.Duration {
	if m.Same(c.self) {
		return 0
	}
	if p := c.peers[m.ID()]; p != nil {
		return c.now - p.heardAt
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
func (c *core) beat(urgent bool) {
	if !c.disk || c.epoch() == 0 {
		return
	}
	c.fresh.seq++
	c.fresh.sentAt[c.fresh.seq%rememberedBeats] = c.now
	heard := c.heardIDs()
	for _, m := range c.acceptor.View.Voters {
		c.beatTo(m, urgent, heard)
	}
	if urgent || !c.isVoter() {
		return
	}
	for _, id := range sortedKeys(c.peers) {
		p := c.peers[id]
		if p.candidate && !c.acceptor.View.IsVoter(p.member) {
			if c.now-p.heardAt > absenceLimit {
				delete(c.peers, id)
				continue
			}
			c.beatTo(p.member, false, heard)
		}
	}
}

func (c *core) heardIDs() []string {
	var ids []string
	for _, m := range c.acceptor.View.Voters {
		if p := c.peers[m.ID()]; p != nil && p.inTouch && c.heard(m) {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

func (c *core) beatTo(m view.Member, urgent bool, heard []string) {
	if m.Same(c.self) {
		return
	}
	p := c.peerOf(m)
	c.send(m, Heartbeat{
		Life:      c.life,
		Seq:       c.fresh.seq,
		EchoLife:  p.life,
		Echo:      p.seq,
		Epoch:     c.epoch(),
		Whole:     c.synced == c.epoch(),
		Wedged:    c.acceptor.Wedged(),
		Leaving:   c.leaving,
		Candidate: !c.isVoter(),
		Urgent:    urgent,
		Heard:     heard,
	})
}

func (c *core) onHeartbeat(from view.Member, m Heartbeat) {
	if !c.disk {
		return
	}
	if m.Epoch < c.epoch() {
		c.tellView(from)
	}
	if !c.acceptor.View.IsVoter(from) && !(m.Candidate && c.isVoter()) {
		return
	}
	p := c.peerOf(from)
	if p.life != m.Life {
		p.life, p.seq, p.inTouch = m.Life, 0, false
	}
	p.heardAt = c.now
	p.leaving, p.candidate = m.Leaving, m.Candidate
	p.epoch, p.whole = m.Epoch, m.Whole
	p.seq = max(p.seq, m.Seq)
	p.heard = make(map[string]bool, len(m.Heard))
	for _, id := range m.Heard {
		p.heard[id] = true
	}
	c.takeEcho(p, m)
	c.checkLeft()
	if m.Urgent {
		c.beatTo(from, false, c.heardIDs())
	}
}

// takeEcho notes that the peer had heard this member's round of heartbeats Echo when it sent m.
func (c *core) takeEcho(p *peer, m Heartbeat) {
	if m.EchoLife != c.life || m.Echo == 0 || m.Echo > c.fresh.seq || c.fresh.seq-m.Echo >= rememberedBeats {
		return
	}
	sentAt := c.fresh.sentAt[m.Echo%rememberedBeats]
	p.echoAt = max(p.echoAt, sentAt)
	if !p.inTouch || c.now-p.heardSince > 0 && !c.heard(p.member) {
		p.inTouch = true
		p.heardSince = c.now
	}
	if m.Epoch == c.epoch() && !m.Wedged {
		p.confirmed = max(p.confirmed, sentAt)
		c.proveEpoch()
	}
}

// loseTouch notes which members have fallen silent, so that a return is seen as one.
func (c *core) loseTouch() {
	for _, p := range c.peers {
		if p.inTouch && !c.heard(p.member) {
			p.inTouch = false
		}
	}
}

// proveEpoch finds the latest moment at which a majority of the voters stood unwedged in the epoch.
func (c *core) proveEpoch() {
	if c.acceptor.Wedged() || !c.inChain() || c.synced != c.epoch() {
		return
	}
	moments := make([]time.Duration, 0, len(c.acceptor.View.Voters))
	for _, m := range c.acceptor.View.Voters {
		if m.Same(c.self) {
			moments = append(moments, c.now)
			continue
		}
		if p := c.peers[m.ID()]; p != nil && p.confirmed != never {
			moments = append(moments, p.confirmed)
		}
	}
	if len(moments) < c.acceptor.View.Majority() {
		return
	}
	sort.Slice(moments, func(i, j int) bool { return moments[i] > moments[j] })
	at := moments[c.acceptor.View.Majority()-1]
	c.fresh.epochAt = max(c.fresh.epochAt, at)
	if !c.fresh.pending && (!c.fresh.proven || at > c.fresh.since) {
		c.fresh.pending, c.fresh.at, c.fresh.end = true, at, c.log.End()
	}
	c.settleFreshness()
}

// settleFreshness completes the pending proof once everything up to its end is applied.
func (c *core) settleFreshness() {
	applied, _ := c.state.Applied()
	if !c.fresh.pending || applied < c.fresh.end {
		return
	}
	c.fresh.pending = false
	c.fresh.proven = true
	c.fresh.since = max(c.fresh.since, c.fresh.at)
}

// freshSince returns the moment before which every acknowledged order is applied here.
func (c *core) freshSince() (time.Duration, bool) {
	since := never
	if c.fresh.proven {
		since = c.fresh.since
	}
	if c.feed.proven {
		since = max(since, c.feed.since)
	}
	return since, since != never
}

// leadState says whether this member may act as the holder of singleton roles.
type leadState struct {
	epoch uint64        // last epoch in which this member was the head
	since time.Duration // it may act from here on
}

// leads returns until when the member leads its epoch.
func (c *core) leads() (until time.Duration, ok bool) {
	until, ok = c.heads()
	return until, ok && c.now >= c.lead.since
}

// heads returns until when the member is the proven head of its epoch, whoever may still act as an earlier one.
func (c *core) heads() (until time.Duration, ok bool) {
	if !c.serving() || !c.acceptor.View.Head().Same(c.self) || c.leaving || c.fresh.epochAt == never {
		return 0, false
	}
	until = c.fresh.epochAt + leadTerm
	return until, until > c.now
}

func (c *core) resetFreshness() {
	c.fresh.pending = false
	c.fresh.epochAt = never
	for _, p := range c.peers {
		p.confirmed = never
	}
	if len(c.acceptor.View.Voters) == 1 {
		c.proveEpoch()
	}
}

// members lists the core machines that this node knows.
func (c *core) members() []Peer {
	list := make([]Peer, 0, len(c.peers)+1)
	for _, m := range c.acceptor.View.Voters {
		list = append(list, Peer{Member: m, Voter: true, InChain: c.acceptor.View.InChain(m), Heard: c.inTouch(m)})
	}
	for _, id := range sortedKeys(c.peers) {
		if p := c.peers[id]; p.candidate && !c.acceptor.View.IsVoter(p.member) {
			list = append(list, Peer{Member: p.member, Heard: c.inTouch(p.member), Candidate: true})
		}
	}
	return list
}

// sortedKeys returns the keys of a map in an order that is the same in each run.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

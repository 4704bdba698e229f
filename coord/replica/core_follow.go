package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// follower is a node's part outside of the chain: it polls a chain member for committed orders;
// and a chain member's list of those who poll it.
type follower struct {
	feeder  view.Member
	seq     uint64
	polls   [rememberedBeats]time.Duration
	heardAt time.Duration
	askedAt time.Duration
	turn    int
	since   time.Duration // all orders acknowledged before this moment are applied here
	proven  bool

	readers map[string]*reader
}

// reader is a node that follows the chain through this member.
type reader struct {
	member   view.Member
	applied  uint64 // what it has, or will have once all that was sent arrives
	polledAt time.Duration
}

// readerLimit is the silence after which a reader isn't fed any more.
const readerLimit = time.Second

func (f *follower) init(c *core) {
	f.readers = make(map[string]*reader)
	f.heardAt, f.askedAt = never, never
	f.turn = c.random.IntN(64)
}

func (f *follower) alive(now time.Duration) bool {
	return !f.feeder.IsZero() && now-f.heardAt <= silenceLimit
}

// followTick polls, from outside of the chain, and turns to another member when one is silent.
func (c *core) followTick() {
	if c.epoch() == 0 || c.inChain() || c.now-c.feed.askedAt < pollInterval-tickInterval/2 {
		return
	}
	chainMembers := c.acceptor.View.Chain
	if view.Index(chainMembers, c.feed.feeder) < 0 || c.now-c.feed.heardAt > silenceLimit {
		if !c.feed.feeder.IsZero() && c.feed.askedAt != never {
			c.feed.turn++
		}
		c.feed.feeder = chainMembers[c.feed.turn%len(chainMembers)]
	}
	c.poll()
}

func (c *core) poll() {
	applied, _ := c.state.Applied()
	c.feed.askedAt = c.now
	c.feed.seq++
	c.feed.polls[c.feed.seq%rememberedBeats] = c.now
	c.send(c.feed.feeder, Poll{Life: c.life, Seq: c.feed.seq, Epoch: c.epoch(), Applied: applied})
}

func (c *core) onPoll(from view.Member, m Poll) {
	if m.Epoch < c.epoch() {
		c.send(from, view.Decided{View: c.acceptor.View})
	}
	if !c.inChain() {
		return
	}
	c.feed.readers[from.ID()] = &reader{member: from, applied: m.Applied, polledAt: c.now}
	feed := c.nextFeed(c.feed.readers[from.ID()])
	feed.Life, feed.Seq = m.Life, m.Seq
	if since, proven := c.freshSince(); proven && c.reaches(feed) {
		feed.Fresh = true
		feed.AgeNano = int64(c.now - since)
	}
	c.send(from, *feed)
}

// reaches reports whether a feed brings its reader to all that is applied here.
func (c *core) reaches(feed *Feed) bool {
	applied, _ := c.state.Applied()
	end := feed.Prev + uint64(len(feed.Entries))
	if feed.Image != nil {
		end = feed.Image.Index
	}
	return end >= applied
}

// nextFeed returns what the reader lacks.
func (c *core) nextFeed(r *reader) *Feed {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	if r.applied < base {
		image := c.state.Image()
		r.applied = image.Index
		return &Feed{Prev: image.Index, Image: &image}
	}
	feed := &Feed{Prev: r.applied}
	if r.applied < applied && applied <= c.log.End() {
		feed.Entries = c.log.After(r.applied, c.limits.batchBytes)
		if excess := r.applied + uint64(len(feed.Entries)); excess > applied {
			feed.Entries = feed.Entries[:applied-r.applied]
		}
		r.applied += uint64(len(feed.Entries))
	}
	return feed
}

// pushFeeds sends what was just applied to those who follow.
func (c *core) pushFeeds() {
	if len(c.feed.readers) == 0 {
		return
	}
	applied, _ := c.state.Applied()
	for _, id := range sortedKeys(c.feed.readers) {
		r := c.feed.readers[id]
		if c.now-r.polledAt > readerLimit || !c.inChain() {
			delete(c.feed.readers, id)
			continue
		}
		for r.applied < applied {
			feed := c.nextFeed(r)
			if feed.Image == nil && len(feed.Entries) == 0 {
				break
			}
			c.send(r.member, *feed)
		}
	}
}

func (c *core) onFeed(from view.Member, m Feed) {
	if c.inChain() {
		return
	}
	if from.Same(c.feed.feeder) {
		c.feed.heardAt = c.now
	}
	applied, _ := c.state.Applied()
	if m.Image != nil && m.Image.Index > applied {
		if err := c.state.Restore(*m.Image); err != nil {
			panic("replica: " + err.Error())
		}
		c.commit = max(c.commit, m.Image.Index)
		c.work.settleRestored(c, applied)
		applied = m.Image.Index
	}
	for _, entry := range m.Entries {
		if entry.Index == applied+1 {
			c.applyEntry(entry)
			applied++
		}
	}
	c.commit = max(c.commit, applied)
	c.takeFreshness(m, applied)
}

// takeFreshness notes what a feed proves: what was acknowledged before the poll was sent, less the
// age of the sender's own proof, is applied here.
func (c *core) takeFreshness(m Feed, applied uint64) {
	if !m.Fresh || m.Life != c.life || m.Seq > c.feed.seq || c.feed.seq-m.Seq >= rememberedBeats {
		return
	}
	end := m.Prev + uint64(len(m.Entries))
	if m.Image != nil {
		end = m.Image.Index
	}
	if applied < end {
		return
	}
	since := c.feed.polls[m.Seq%rememberedBeats] - time.Duration(m.AgeNano)
	if !c.feed.proven || since > c.feed.since {
		c.feed.since, c.feed.proven = since, true
	}
}

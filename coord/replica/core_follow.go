package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// follower is a node's part outside of the chain: it polls a chain member for committed orders;
// and a chain member's list of those who poll it.
type learnerState struct {
	upstream     view.Member
	pollSeq      uint64
	pollSentAt   [heartbeatWindow]time.Duration
	lastContact  time.Duration
	polledAt     time.Duration
	upstreamTurn int
	currentAsOf  time.Duration // all orders acknowledged before this moment are applied here
	proven       bool

	learners map[string]*learnerProgress
}

// reader is a node that follows the chain through this member.
type learnerProgress struct {
	member    view.Member
	sentIndex uint64 // what it has, or will have once all that was sent arrives
	polledAt  time.Duration
}

// readerLimit is the silence after which a reader isn't fed any more.
const learnerTimeout = time.Second

func (f *learnerState) init(c *core) {
	f.learners = make(map[string]*learnerProgress)
	f.lastContact, f.polledAt = never, never
	f.upstreamTurn = c.random.IntN(64)
}

func (f *learnerState) upstreamAlive(now time.Duration) bool {
	return !f.upstream.IsZero() && now-f.lastContact <= suspicionTimeout
}

// followTick polls, from outside of the chain, and turns to another member when one is silent.
func (c *core) pollTick() {
	if c.epoch() == 0 || c.inChain() || c.now-c.learner.polledAt < learnerPollInterval-tickInterval/2 {
		return
	}
	chainMembers := c.acceptor.View.Chain
	if view.Index(chainMembers, c.learner.upstream) < 0 || c.now-c.learner.lastContact > suspicionTimeout {
		if !c.learner.upstream.IsZero() && c.learner.polledAt != never {
			c.learner.upstreamTurn++
		}
		c.learner.upstream = chainMembers[c.learner.upstreamTurn%len(chainMembers)]
	}
	c.poll()
}

func (c *core) poll() {
	applied, _ := c.state.Applied()
	c.learner.polledAt = c.now
	c.learner.pollSeq++
	c.learner.pollSentAt[c.learner.pollSeq%heartbeatWindow] = c.now
	c.send(c.learner.upstream, LearnerPoll{Life: c.incarnation, Seq: c.learner.pollSeq, Epoch: c.epoch(), Applied: applied})
}

func (c *core) onLearnerPoll(from view.Member, m LearnerPoll) {
	if m.Epoch < c.epoch() {
		c.send(from, view.Decided{View: c.acceptor.View})
	}
	if !c.inChain() {
		return
	}
	c.learner.learners[from.ID()] = &learnerProgress{member: from, sentIndex: m.Applied, polledAt: c.now}
	update := c.nextLearnerUpdate(c.learner.learners[from.ID()])
	update.Life, update.Seq = m.Life, m.Seq
	if since, proven := c.currentAsOf(); proven && c.coversApplied(update) {
		update.Fresh = true
		update.AgeNano = int64(c.now - since)
	}
	c.send(from, *update)
}

// reaches reports whether a feed brings its reader to all that is applied here.
func (c *core) coversApplied(update *LearnerUpdate) bool {
	applied, _ := c.state.Applied()
	end := update.Prev + uint64(len(update.Entries))
	if update.Image != nil {
		end = update.Image.Index
	}
	return end >= applied
}

// nextFeed returns what the reader lacks.
func (c *core) nextLearnerUpdate(r *learnerProgress) *LearnerUpdate {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	if r.sentIndex < base {
		snapshot := c.state.Snapshot()
		r.sentIndex = snapshot.Index
		return &LearnerUpdate{Prev: snapshot.Index, Image: &snapshot}
	}
	update := &LearnerUpdate{Prev: r.sentIndex}
	if r.sentIndex < applied && applied <= c.log.LastIndex() {
		update.Entries = c.log.After(r.sentIndex, c.limits.batchBytes)
		if excess := r.sentIndex + uint64(len(update.Entries)); excess > applied {
			update.Entries = update.Entries[:applied-r.sentIndex]
		}
		r.sentIndex += uint64(len(update.Entries))
	}
	return update
}

// pushFeeds sends what was just applied to those who follow.
func (c *core) pushLearnerUpdates() {
	if len(c.learner.learners) == 0 {
		return
	}
	applied, _ := c.state.Applied()
	for _, id := range sortedKeys(c.learner.learners) {
		r := c.learner.learners[id]
		if c.now-r.polledAt > learnerTimeout || !c.inChain() {
			delete(c.learner.learners, id)
			continue
		}
		for r.sentIndex < applied {
			update := c.nextLearnerUpdate(r)
			if update.Image == nil && len(update.Entries) == 0 {
				break
			}
			c.send(r.member, *update)
		}
	}
}

func (c *core) onLearnerUpdate(from view.Member, m LearnerUpdate) {
	if c.inChain() {
		return
	}
	if from.Same(c.learner.upstream) {
		c.learner.lastContact = c.now
	}
	applied, _ := c.state.Applied()
	if m.Image != nil && m.Image.Index > applied {
		if err := c.state.Restore(*m.Image); err != nil {
			panic("replica: " + err.Error())
		}
		c.commitIndex = max(c.commitIndex, m.Image.Index)
		c.requests.completeRestored(c, applied)
		applied = m.Image.Index
	}
	for _, entry := range m.Entries {
		if entry.Index == applied+1 {
			c.applyEntry(entry)
			applied++
		}
	}
	c.commitIndex = max(c.commitIndex, applied)
	c.noteStaleness(m, applied)
}

// takeFreshness notes what a feed proves: what was acknowledged before the poll was sent, less the
// age of the sender's own proof, is applied here.
func (c *core) noteStaleness(m LearnerUpdate, applied uint64) {
	if !m.Fresh || m.Life != c.incarnation || m.Seq > c.learner.pollSeq || c.learner.pollSeq-m.Seq >= heartbeatWindow {
		return
	}
	end := m.Prev + uint64(len(m.Entries))
	if m.Image != nil {
		end = m.Image.Index
	}
	if applied < end {
		return
	}
	since := c.learner.pollSentAt[m.Seq%heartbeatWindow] - time.Duration(m.AgeNano)
	if !c.learner.proven || since > c.learner.currentAsOf {
		c.learner.currentAsOf, c.learner.proven = since, true
	}
}

package replica

import (
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// learnerState is the state of a node in its role as a learner. A node outside of the chain is a learner in the
// sense of Paxos: it polls one chain member, its upstream, for committed commands. In this role it doesn't vote.
type learnerState struct {
	upstream      view.Member // the chain member that it polls
	upstreamIndex int         // selects the next upstream: index modulo the length of the chain
	lastContact   time.Duration
	pollSeq       uint64
	polledAt      time.Duration
	pollSentAt    [pollWindow]time.Duration // of poll n at n modulo pollWindow

	proven      bool
	currentAsOf time.Duration // all commands acknowledged before this moment are applied here
}

// pollWindow is the number of latest polls whose sending times are kept until their answers arrive.
const pollWindow = 64

// newLearnerState returns the state of a starting learner. Its first upstream is drawn at random, so that learners
// are distributed over the members of the chain.
func newLearnerState(random *rand.Rand) learnerState {
	const indexRange = 64 // greater than the length of any chain
	return learnerState{lastContact: never, polledAt: never, upstreamIndex: random.IntN(indexRange)}
}

// upstreamAlive reports whether the upstream has answered within suspicionTimeout.
func (l *learnerState) upstreamAlive(now time.Duration) bool {
	return !l.upstream.IsZero() && now-l.lastContact <= suspicionTimeout
}

// learnerProgress is the state that a chain member keeps about a learner that polls it.
type learnerProgress struct {
	member    view.Member
	sentIndex uint64 // last command that it has applied or was sent
	polledAt  time.Duration
}

// pollIfDue polls the upstream if this node is outside of the chain and a poll is due. If the upstream has left the
// chain or doesn't answer, the next chain member becomes the upstream.
func (c *core) pollIfDue() {
	if c.epoch() == 0 || c.inChain() || c.now-c.learner.polledAt < learnerPollInterval-tickInterval/2 {
		return
	}
	chainMembers := c.acceptor.View.Chain
	if view.Index(chainMembers, c.learner.upstream) < 0 || c.now-c.learner.lastContact > suspicionTimeout {
		if !c.learner.upstream.IsZero() && c.learner.polledAt != never {
			c.learner.upstreamIndex++
		}
		c.learner.upstream = chainMembers[c.learner.upstreamIndex%len(chainMembers)]
	}
	c.poll()
}

// poll asks the upstream for commands and a proof of staleness.
func (c *core) poll() {
	applied, _ := c.state.Applied()
	c.learner.polledAt = c.now
	c.learner.pollSeq++
	c.learner.pollSentAt[c.learner.pollSeq%pollWindow] = c.now
	poll := LearnerPoll{Life: c.incarnation, Seq: c.learner.pollSeq, Epoch: c.epoch(), Applied: applied}
	c.send(c.learner.upstream, poll)
}

// onLearnerUpdate applies committed commands that the learner lacks. Updates may be lost, duplicated and reordered:
// a command is applied only if it follows the last applied one, and the next poll reports to the upstream the index
// from which to continue.
func (c *core) onLearnerUpdate(from view.Member, m LearnerUpdate) {
	if c.inChain() {
		return
	}
	if from.Same(c.learner.upstream) {
		c.learner.lastContact = c.now
	}
	if m.Image != nil {
		c.restoreSnapshot(m.Image)
	}
	applied, _ := c.state.Applied()
	for _, entry := range m.Entries {
		if entry.Index == applied+1 {
			c.applyEntry(entry)
			applied++
		}
	}
	c.commitIndex = max(c.commitIndex, applied)
	c.updateStaleness(m, applied)
}

// updateStaleness updates the staleness proof from an answer to a poll. The update proves that all commands which were
// acknowledged before asOf are applied here, where asOf is the sending time of the poll minus the age of the
// upstream's own proof. Each of the two durations is measured on a single clock.
func (c *core) updateStaleness(m LearnerUpdate, applied uint64) {
	l := &c.learner
	if !m.Fresh || m.Life != c.incarnation || m.Seq > l.pollSeq || l.pollSeq-m.Seq >= pollWindow {
		return
	}
	if applied < m.lastIndex() {
		return
	}
	asOf := l.pollSentAt[m.Seq%pollWindow] - time.Duration(m.AgeNano)
	if !l.proven || asOf > l.currentAsOf {
		l.currentAsOf, l.proven = asOf, true
	}
}

// onLearnerPoll answers a poll with the commands that the learner lacks. If the answer covers all commands applied
// on this member, it carries the age of this member's own staleness proof.
func (c *core) onLearnerPoll(from view.Member, m LearnerPoll) {
	if m.Epoch < c.epoch() {
		c.send(from, view.Decided{View: c.acceptor.View})
	}
	if !c.inChain() {
		return
	}
	progress := &learnerProgress{member: from, sentIndex: m.Applied, polledAt: c.now}
	c.learners[from.ID()] = progress
	update := c.nextLearnerUpdate(progress)
	update.Life, update.Seq = m.Life, m.Seq
	applied, _ := c.state.Applied()
	if asOf, proven := c.currentAsOf(); proven && update.lastIndex() >= applied {
		update.Fresh = true
		update.AgeNano = int64(c.now - asOf)
	}
	c.send(from, *update)
}

// nextLearnerUpdate returns the next commands that a learner lacks, or a snapshot if these are compacted away.
func (c *core) nextLearnerUpdate(progress *learnerProgress) *LearnerUpdate {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	if progress.sentIndex < base {
		snapshot := c.state.Snapshot()
		progress.sentIndex = snapshot.Index
		return &LearnerUpdate{Prev: snapshot.Index, Image: &snapshot}
	}
	update := &LearnerUpdate{Prev: progress.sentIndex}
	if progress.sentIndex < applied && applied <= c.log.LastIndex() {
		update.Entries = c.log.After(progress.sentIndex, c.limits.batchBytes)
		if last := progress.sentIndex + uint64(len(update.Entries)); last > applied {
			update.Entries = update.Entries[:applied-progress.sentIndex]
		}
		progress.sentIndex += uint64(len(update.Entries))
	}
	return update
}

// pushLearnerUpdates sends newly applied commands to the learners that poll this member. It drops learners that
// haven't polled within learnerTimeout.
func (c *core) pushLearnerUpdates() {
	if len(c.learners) == 0 {
		return
	}
	applied, _ := c.state.Applied()
	for _, id := range sortedKeys(c.learners) {
		progress := c.learners[id]
		if c.now-progress.polledAt > learnerTimeout || !c.inChain() {
			delete(c.learners, id)
			continue
		}
		for progress.sentIndex < applied {
			update := c.nextLearnerUpdate(progress)
			if update.Image == nil && len(update.Entries) == 0 {
				break
			}
			c.send(progress.member, *update)
		}
	}
}

package replica

import (
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// learnerState is the part of a node outside of the chain: a learner in the sense of Paxos, which polls one
// chain member for committed commands and doesn't vote.
type learnerState struct {
	upstream     view.Member // the chain member that it polls
	upstreamTurn int         // selects the next upstream
	lastContact  time.Duration
	pollSeq      uint64
	polledAt     time.Duration
	pollSentAt   [pollWindow]time.Duration // of poll n at n modulo pollWindow

	proven      bool
	currentAsOf time.Duration // all commands acknowledged before this moment are applied here
}

// pollWindow is the number of polls whose sending times are kept for their answers.
const pollWindow = 64

// newLearnerState draws where in the chain the learner starts, so that learners spread over its members.
func newLearnerState(random *rand.Rand) learnerState {
	const anyTurn = 64 // more than the members of a chain
	return learnerState{lastContact: never, polledAt: never, upstreamTurn: random.IntN(anyTurn)}
}

// upstreamAlive reports whether the upstream has answered lately.
func (l *learnerState) upstreamAlive(now time.Duration) bool {
	return !l.upstream.IsZero() && now-l.lastContact <= suspicionTimeout
}

// learnerProgress is what a chain member knows of a learner that polls it.
type learnerProgress struct {
	member    view.Member
	sentIndex uint64 // last command that it has applied, or will have once all that was sent has arrived
	polledAt  time.Duration
}

// pollTick polls the upstream, from outside of the chain, and turns to the next chain member if it doesn't
// answer.
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

// poll asks the upstream for commands and a proof of staleness.
func (c *core) poll() {
	applied, _ := c.state.Applied()
	c.learner.polledAt = c.now
	c.learner.pollSeq++
	c.learner.pollSentAt[c.learner.pollSeq%pollWindow] = c.now
	poll := LearnerPoll{Life: c.incarnation, Seq: c.learner.pollSeq, Epoch: c.epoch(), Applied: applied}
	c.send(c.learner.upstream, poll)
}

// onLearnerUpdate applies committed commands that the learner lacks. Updates may be lost, repeated and
// reordered: only the next command is applied, and the next poll tells the upstream where to continue.
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
	c.noteStaleness(m, applied)
}

// noteStaleness notes what an update proves: what was acknowledged before the poll was sent, less the age of
// the upstream's own proof, is applied here. Both durations are differences on one clock each.
func (c *core) noteStaleness(m LearnerUpdate, applied uint64) {
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

// onLearnerPoll answers a poll with the commands that the learner lacks. If they reach up to what is applied
// here, the answer carries the age of this member's own proof.
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

// nextLearnerUpdate returns the next commands that a learner lacks, or a snapshot if they are compacted away.
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

// pushLearnerUpdates sends what was just applied to the learners that poll this member.
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

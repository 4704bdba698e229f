package replica

import (
	"slices"
	"time"
)

// This file drops expired batch jobs, and determines which segments of the log are still needed.

// unansweredFactor multiplies the retention time of a copy (retentionTime) if other stores don't answer whether it
// may be dropped.
const unansweredFactor = 2

// dropExpired drops batch jobs that needn't be kept any more.
//
// An owner drops a closed batch job once all replicas know that it is closed, and no other store of this epoch may
// hold a copy without knowing it. Stores outside of the replica set drop their copies when they know that the batch
// job is closed. The stores of all other copies ask the owner about expired ones (queryOwners) and drop them once the
// owner has no copy any more: such a copy may lack the end, and if a replica dropped its copy first, the owner would
// send it another.
//
// A store that was absent may still return with a copy that lacks the end. It runs no item, because the end is kept
// until no store starts an item of the batch job any more (retentionTime). If a store doesn't answer, a copy is
// dropped after twice that time (unansweredFactor).
func (m *StateMachine) dropExpired() {
	for _, j := range slices.Clone(m.jobsInOrder) {
		if !m.mayDrop(j) {
			continue
		}
		m.discard(j)
		m.reconciled = m.reconciled && m.unowned == 0 // it may have been an unowned batch job: owners are decided anew
	}
}

// mayDrop reports whether a batch job needn't be kept any more here.
func (m *StateMachine) mayDrop(j *storedJob) bool {
	kept, bounded := m.retentionTime(j)
	age := m.age(j)
	if age < kept {
		return false
	}
	switch {
	case !j.isClosed():
		return !j.owned && bounded && age >= unansweredFactor*kept
	case j.owned && j.closedOnAllReplicas() && !m.awaitsReplaced(j), !j.owned && (j.superseded || j.handedOver):
		return true
	}
	return age >= unansweredFactor*kept
}

// retentionTime returns how long a closed batch job is kept: for Options.Retention, and at least until no store
// starts its items any more. The end must not be dropped sooner, because a store that was absent when the end was
// acknowledged may return with a copy that lacks it. bounded is false if items may run for ever.
func (m *StateMachine) retentionTime(j *storedJob) (kept time.Duration, bounded bool) {
	lifetime, known := m.env.ItemLifetime(j.route)
	switch {
	case !known:
		return unansweredFactor * m.options.Retention, true
	case lifetime == 0:
		return m.options.Retention, false
	}
	return max(m.options.Retention, lifetime), true
}

// age returns the time since a batch job was first submitted, by the time of day.
func (m *StateMachine) age(j *storedJob) time.Duration {
	return time.Duration(m.env.WallClock()-j.firstSent) * time.Millisecond
}

// isExpired reports whether a batch job has reached the age up to which it is kept if it is closed.
func (m *StateMachine) isExpired(j *storedJob) bool {
	kept, _ := m.retentionTime(j)
	return m.age(j) >= kept
}

// discard drops a copy permanently: it writes the drop to the log and redirects the calls that wait.
func (m *StateMachine) discard(j *storedJob) {
	m.write(encodeDropped(j.id), false, func() {})
	m.redirectPending(j)
	m.env.Stop(j.id)
	m.removeJob(j.id)
}

// OldestSegment returns the oldest segment of the log that is still needed, or limit if no segment before it is. If
// only the view record needs that segment, it also writes a new view record, so that the segment can be released
// later.
func (m *StateMachine) OldestSegment(limit uint32) uint32 {
	oldest := limit
	for _, j := range m.jobsInOrder {
		oldest = min(oldest, j.oldestLocation().Segment)
	}
	if at := m.departures.viewRecordAt; at != nil && at.Segment < oldest {
		oldest = at.Segment
		m.writeViewRecord() // to a segment that isn't released yet
	}
	return oldest
}

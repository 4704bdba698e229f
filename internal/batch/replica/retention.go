package replica

import (
	"slices"
	"time"
)

// When is a batch job forgotten, and which segments of the log may go?

// unansweredFactor is how many times the time for which a closed batch job is kept a copy is kept where other stores
// don't answer what has become of it.
const unansweredFactor = 2

// dropExpired drops batch jobs that needn't be kept any more.
//
// An owner drops a closed one once all replicas know that it is closed and no other store is left in this epoch that
// may hold a copy without knowing. Stores outside of its set drop theirs when they know that it is closed. The
// others ask the owner about expired copies (queryOwners) and drop them once it has none any more: they may lack the
// end, and a replica that dropped its copy first would be sent another.
//
// A store that was away may still return with a copy that lacks the end: it runs nothing, as the end is kept until no
// store starts an item of the batch job any more (keepFor). Where some store doesn't answer, a copy is dropped after
// twice that time.
func (m *StateMachine) dropExpired() {
	for _, j := range slices.Clone(m.jobsInOrder) {
		if !m.mayDrop(j) {
			continue
		}
		m.discard(j)
		m.reconciled = m.reconciled && m.unowned == 0 // if it was one that nobody owned, owners are decided anew
	}
}

// mayDrop reports whether a batch job needn't be kept any more here.
func (m *StateMachine) mayDrop(j *storedJob) bool {
	kept, bounded := m.keepFor(j)
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

// keepFor returns for how long a closed batch job is kept: for Options.Retention, and at least until no store starts
// its items any more. The end must not be forgotten sooner, as a store that was away when it was acknowledged may come
// back with a copy that lacks it. bounded is false if items may run for ever.
func (m *StateMachine) keepFor(j *storedJob) (kept time.Duration, bounded bool) {
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

// isExpired reports whether a batch job needn't be kept any more, if it is closed.
func (m *StateMachine) isExpired(j *storedJob) bool {
	kept, _ := m.keepFor(j)
	return m.age(j) >= kept
}

// discard drops a copy for good.
func (m *StateMachine) discard(j *storedJob) {
	m.write(encodeDropped(j.id), false, func() {})
	m.redirectPending(j)
	m.env.Stop(j.id)
	m.removeJob(j.id)
}

// OldestSegment returns the first segment of the log that something still needs, or limit if nothing does.
func (m *StateMachine) OldestSegment(limit uint32) uint32 {
	oldest := limit
	for _, j := range m.jobsInOrder {
		oldest = min(oldest, j.oldestLocation().Segment)
	}
	if at := m.departures.viewRecordAt; at != nil && at.Segment < oldest {
		oldest = at.Segment
		m.writeViewRecord() // behind the segments that may go
	}
	return oldest
}

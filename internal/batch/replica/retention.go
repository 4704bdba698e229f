package replica

import (
	"slices"
	"time"
)

// When is a batch job forgotten, and which segments of the log may go?

// dropExpired drops batch jobs after Options.Retention: closed ones at once. A copy that isn't owned may lack
// the end of its batch job, and so not be known as closed: it is dropped after twice that time.
func (m *StateMachine) dropExpired() {
	for _, j := range slices.Clone(m.jobsInOrder) {
		closed := j.ended || j.allFinished()
		if !m.isExpired(j) || !closed && (j.owned || m.age(j) < 2*m.options.Retention) {
			continue
		}
		m.discard(j)
		m.reconciled = m.reconciled && m.unowned == 0 // if it was one that nobody owned, owners are decided anew
	}
}

// age returns the time since a batch job was first submitted, by the time of day.
func (m *StateMachine) age(j *storedJob) time.Duration {
	return time.Duration(m.env.WallClock()-j.firstSent) * time.Millisecond
}

// isExpired reports whether a batch job needn't be kept any more, if it is closed.
func (m *StateMachine) isExpired(j *storedJob) bool { return m.age(j) >= m.options.Retention }

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

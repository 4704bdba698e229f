package replica

import (
	"maps"
	"slices"
	"time"
)

// This file owns what happens by time alone.

const expiryInterval = time.Second

// Tick is to be called a few times a second.
func (m *StateMachine) Tick() {
	now := m.env.Now()
	m.expireCalls(now)
	if !m.isMember {
		return
	}
	if !m.reconciled && now-m.inventoriesRequestedAt >= inventoryRetry {
		m.requestInventories()
		m.reconcile()
	}
	m.resendTransfers(now)
	m.tickClaims(now)
	for _, id := range m.acceptanceIDs() {
		m.requestReservations(id, m.acceptances[id])
	}
	for _, j := range m.order {
		if j.owned {
			m.replaceSlowReplicas(j, now)
			m.replicateJob(j)
		}
	}
	if m.reconciled {
		m.queryOwners()
	}
	if m.awaitsAllReconciled() && m.reconciledEpoch == m.view.Epoch && now-m.departures.noticeSentAt >= noticeInterval {
		m.sendReconciledNotice()
	}
	if now-m.lastExpiry >= expiryInterval {
		m.lastExpiry = now
		m.expireDeparted(now)
		m.dropExpired()
		m.checkReconciled() // what was not whole may be among them
	}
}

func (m *StateMachine) expireCalls(now time.Duration) {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		switch {
		case now >= p.deadline:
			m.expireCall(p)
		case m.jobs[p.call.BatchJob] == nil && m.MayAct():
			m.dispatch(p)
		default:
			m.parkedCalls = append(m.parkedCalls, p)
		}
	}
	for _, id := range m.acceptanceIDs() {
		if a := m.acceptances[id]; now >= a.deadline {
			delete(m.acceptances, id)
			m.releaseReservations(id, a.attempt)
			m.rejectCalls(a)
		}
	}
	for _, j := range m.order {
		m.expireReads(j, now)
	}
}

// accepting lists the batch jobs that are being accepted, in a fixed order.
func (m *StateMachine) acceptanceIDs() []string {
	if len(m.acceptances) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.acceptances))
}

func (m *StateMachine) expireReads(j *storedJob, now time.Duration) {
	if !slices.ContainsFunc(j.pendingReads, func(r pendingRead) bool { return now >= r.deadline }) {
		return
	}
	waiting := j.pendingReads
	j.pendingReads = nil
	for _, r := range waiting {
		switch {
		case now < r.deadline:
			j.pendingReads = append(j.pendingReads, r)
		case j.owned && j.replicated && m.MayAct():
			m.answerRead(j, r.callID, r.start)
		default:
			m.answer(r.callID, unavailable())
		}
	}
}

// dropExpired forgets batch jobs whose time is over: closed ones after KeepFor, copies that were left behind after twice
// that.
func (m *StateMachine) dropExpired() {
	for _, j := range slices.Clone(m.order) {
		closed := j.ended || j.allFinished()
		if !m.isExpired(j) || !closed && (j.owned || m.age(j) < 2*m.options.Retention) {
			continue
		}
		m.discard(j)
		m.reconciled = m.reconciled && m.unowned == 0 // it may be what nobody owned: all is looked at again
	}
}

// age is how long ago a batch job was sent first, by the time of day.
func (m *StateMachine) age(j *storedJob) time.Duration {
	return time.Duration(m.env.WallClock()-j.firstSent) * time.Millisecond
}

// isOver tells whether a batch job needn't be kept any more, if it is closed.
func (m *StateMachine) isExpired(j *storedJob) bool { return m.age(j) >= m.options.Retention }

// discard drops a copy for good.
func (m *StateMachine) discard(h *storedJob) {
	m.write(encodeDropped(h.id), false, func() {})
	m.redirectPending(h)
	m.env.Stop(h.id)
	m.removeJob(h.id)
}

// OldestSegment gives the first segment of the log that something still needs; limit where there is nothing.
func (m *StateMachine) OldestSegment(limit uint32) uint32 {
	oldest := limit
	for _, j := range m.order {
		oldest = min(oldest, j.oldestLocation().Segment)
	}
	if at := m.departures.viewRecordAt; at != nil && at.Segment < oldest {
		oldest = at.Segment
		m.writeViewRecord() // behind all that may go
	}
	return oldest
}

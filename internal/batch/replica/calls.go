package replica

import (
	"net/http"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file dispatches clients' calls: a call is answered here, redirected to another store, or waits.

const (
	// parkTimeout limits how long a call waits until this store is certain of its answer.
	parkTimeout = 900 * time.Millisecond
	// retryAfter is the Retry-After of calls that can't be answered now.
	retryAfter = 250 * time.Millisecond
)

// parkedCall is a call that waits until this store knows enough to answer it.
type parkedCall struct {
	callID     CallID
	call       protocol.BatchCall
	items      []job.Item // of a submission
	receivedAt time.Duration
	deadline   time.Duration
}

// Call handles a client's call. The answer is given through Environment.Answer. items is set for submissions only.
func (m *StateMachine) Call(id CallID, call protocol.BatchCall, items []job.Item) {
	if !m.MayAct() {
		m.answer(id, unavailable())
		return
	}
	now := m.env.Now()
	m.dispatch(parkedCall{callID: id, call: call, items: items, receivedAt: now, deadline: now + parkTimeout})
}

// CancelCall drops a call whose client doesn't wait for the answer any more.
func (m *StateMachine) CancelCall(id CallID) {
	m.parkedCalls = slices.DeleteFunc(m.parkedCalls, func(p parkedCall) bool { return p.callID == id })
}

// answer answers a call, which ends it.
func (m *StateMachine) answer(id CallID, answer protocol.BatchAnswer) { m.env.Answer(id, answer) }

// accepted returns the answer that the batch job is on all disks of its replica set.
func accepted() protocol.BatchAnswer { return protocol.BatchAnswer{Status: http.StatusAccepted} }

// unavailable returns the answer that promises that the call had no effect.
func unavailable() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: http.StatusServiceUnavailable, RetryAfterMs: int(retryAfter.Milliseconds())}
}

// overLimit returns the answer that promises that the call had no effect: the batch job doesn't fit within its
// account's limit now.
func overLimit() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: http.StatusTooManyRequests, RetryAfterMs: int(overLimitRetry.Milliseconds())}
}

// outcomeUnknown returns the answer that promises nothing: the call may or may not have taken effect.
func outcomeUnknown() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
}

// notFound returns the answer that the batch job doesn't exist for this tenant.
func notFound() protocol.BatchAnswer { return protocol.BatchAnswer{Status: http.StatusNotFound} }

// mayAccess reports whether a tenant may read and end a batch job of owner. A batch job without a tenant was accepted
// without a key, from a public route or before the configuration had tenants, and is accessible to all.
func mayAccess(tenant, owner string) bool { return owner == "" || tenant == owner }

// dispatch answers a call, redirects it to another store or parks it.
func (m *StateMachine) dispatch(p parkedCall) {
	j := m.jobs[p.call.BatchJob]
	switch {
	case j == nil:
		m.dispatchNotOwned(p)
	case !mayAccess(p.call.Tenant, j.tenant):
		m.answer(p.callID, notFound())
	case j.handedOver || !j.owned:
		m.dispatchNotOwned(p)
	case p.call.Operation == protocol.BatchSubmit:
		m.resubmit(j, p)
	case !j.replicated:
		m.park(p)
	default:
		m.serve(j, p)
	}
}

// serve answers a call for a batch job that is owned here and replicated.
func (m *StateMachine) serve(j *storedJob, p parkedCall) {
	switch p.call.Operation {
	case protocol.BatchRead:
		m.serveRead(j, p)
	case protocol.BatchBody:
		m.serveBody(j, p)
	case protocol.BatchEnd:
		m.serveEnd(j, p.callID)
	default:
		m.answer(p.callID, protocol.BatchAnswer{Status: http.StatusBadRequest})
	}
}

// dispatchNotOwned redirects or parks a call for a batch job that isn't owned here. A submission of a batch job that
// isn't stored here starts an acceptance.
func (m *StateMachine) dispatchNotOwned(p parkedCall) {
	id := p.call.BatchJob
	if owner, known := m.owners[id]; known && owner != m.self {
		if member, present := placement.MemberOf(m.view, owner); present {
			m.answer(p.callID, protocol.BatchAnswer{Owner: member.IP})
			return
		}
	}
	if p.call.Operation == protocol.BatchSubmit && m.jobs[id] == nil {
		m.startAcceptance(p)
		return
	}
	m.park(p)
	if m.jobs[id] == nil {
		m.startLookup(id)
	}
}

// park makes a call wait until its deadline. A call that is past its deadline is answered at once.
func (m *StateMachine) park(p parkedCall) {
	if m.env.Now() >= p.deadline {
		m.expireCall(p)
		return
	}
	m.parkedCalls = append(m.parkedCalls, p)
}

// expireCall answers a call that is past its deadline. The outcome of a submission is unknown, as another store may
// have accepted the batch job.
func (m *StateMachine) expireCall(p parkedCall) {
	if p.call.Operation == protocol.BatchSubmit {
		m.answer(p.callID, outcomeUnknown())
		return
	}
	m.answer(p.callID, unavailable())
}

// expireCalls ends calls and acceptances that are past their deadlines.
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
	for _, j := range m.jobsInOrder {
		m.expireReads(j, now)
	}
}

// retryParkedCalls dispatches all waiting calls again.
func (m *StateMachine) retryParkedCalls() {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		m.dispatch(p)
	}
}

// redispatchParkedCalls dispatches the waiting calls for one batch job again.
func (m *StateMachine) redispatchParkedCalls(id string) {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		if p.call.BatchJob == id {
			m.dispatch(p)
			continue
		}
		m.parkedCalls = append(m.parkedCalls, p)
	}
}

// redirectPending redirects all calls that wait for a batch job to its owner.
func (m *StateMachine) redirectPending(j *storedJob) {
	waiting := j.pendingReads
	j.pendingReads = nil
	for _, r := range waiting {
		m.answer(r.callID, m.ownerAnswer(j.id))
	}
	m.answerSubmissionsAndEnds(j, m.ownerAnswer(j.id))
	m.redispatchParkedCalls(j.id)
}

// answerSubmissionsAndEnds gives one answer to all submissions and ends that wait for a batch job.
func (m *StateMachine) answerSubmissionsAndEnds(j *storedJob, answer protocol.BatchAnswer) {
	for _, calls := range [][]CallID{j.pendingSubmissions, j.pendingEnds} {
		for _, id := range calls {
			m.answer(id, answer)
		}
	}
	j.pendingSubmissions, j.pendingEnds = nil, nil
}

// ownerAnswer returns the answer that names the owner of a batch job that isn't owned here, or outcomeUnknown if the
// owner isn't known.
func (m *StateMachine) ownerAnswer(id string) protocol.BatchAnswer {
	if member, present := placement.MemberOf(m.view, m.owners[id]); present && m.owners[id] != m.self {
		return protocol.BatchAnswer{Owner: member.IP}
	}
	return outcomeUnknown()
}

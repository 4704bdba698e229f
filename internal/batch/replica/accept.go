package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the acceptance of batch jobs, from the submission to its acknowledgement.

// acceptTimeout limits how long a submission waits for a majority of the arbiters and for capacity. Clients try
// another store after it.
const acceptTimeout = 2500 * time.Millisecond

// acceptance is a batch job that is being accepted. Nothing of it has been written yet.
type acceptance struct {
	content     *job.Content
	attempt     uint64 // number of this attempt
	calls       []parkedCall
	votes       map[placement.Key]ReservationResponse // of the present epoch, by arbiter
	requestedAt time.Duration                         // when votes were last requested; 0 for never
	deadline    time.Duration
	tokens      int64         // of all items
	capacity    capacityState // whether the tokens fit within the limit of the account
}

// startAcceptance begins to accept a batch job that isn't known here.
//
// A store whose log is incomplete accepts no batch job until all members have reconciled, because it may have held
// the batch job without knowing. The arbiters would not prevent it: they regard this store as the owner, or gave it
// their votes before its restart in the same epoch. Results that were already shown would then be listed anew.
func (m *StateMachine) startAcceptance(p parkedCall) {
	id := p.call.BatchJob
	if a := m.acceptances[id]; a != nil {
		if !mayAccess(p.call.Tenant, a.content.Tenant) {
			m.answer(p.callID, notFound())
			return
		}
		a.calls = append(a.calls, p)
		return
	}
	if m.retiring || m.diskLags() || m.incompleteLog {
		m.redirectToActive(p)
		return
	}
	if m.tooManyDeparted() || !m.canStore(p) {
		m.answer(p.callID, unavailable())
		return
	}
	m.lastAttempt++
	a := &acceptance{
		attempt: m.lastAttempt,
		content: &job.Content{
			ID: id, Tenant: p.call.Tenant, Route: p.call.Route, FirstSent: m.env.WallClock(), Items: p.items,
		},
		calls:    []parkedCall{p},
		votes:    map[placement.Key]ReservationResponse{},
		deadline: m.env.Now() + acceptTimeout,
	}
	for i := range p.items {
		a.tokens += int64(p.items[i].Tokens)
	}
	m.acceptances[id] = a
	m.requestCapacity(a)
	m.requestReservations(id, a)
}

// canStore reports whether there are enough active stores for a batch job, and whether this store has enough disk
// space and stores fewer than Options.MaxJobs.
func (m *StateMachine) canStore(p parkedCall) bool {
	if len(placement.ActiveMembers(m.view)) < m.options.ReplicationFactor {
		return false
	}
	if m.options.MaxJobs > 0 && len(m.jobs) >= m.options.MaxJobs {
		return false
	}
	return m.env.FreeBytes()-int64(len(p.call.Body)) > m.options.MinFreeBytes
}

// redirectToActive redirects a submission to another active store.
func (m *StateMachine) redirectToActive(p parkedCall) {
	for _, other := range placement.Rank(p.call.BatchJob, placement.ActiveMembers(m.view)) {
		if placement.KeyOf(other) != m.self {
			m.answer(p.callID, protocol.BatchAnswer{Owner: other.IP})
			return
		}
	}
	m.answer(p.callID, unavailable())
}

// finishAccepting writes a batch job that no other store holds, or rejects it if its account has no capacity for it.
// It does nothing while the capacity is unknown.
func (m *StateMachine) finishAccepting(a *acceptance) {
	id := a.content.ID
	switch a.capacity {
	case capacityGranted:
		m.checkCapacity(a.account())
		delete(m.acceptances, id)
		m.writeAccepted(a)
	case capacityDenied:
		delete(m.acceptances, id)
		m.releaseReservations(id, a.attempt)
		for _, p := range a.calls {
			m.answer(p.callID, overLimit())
		}
	}
}

// writeAccepted writes a batch job here and sends it to the other replicas once it is durable. Once it is written,
// a failure no longer promises that the batch job wasn't accepted.
func (m *StateMachine) writeAccepted(a *acceptance) {
	id := a.content.ID
	kept := []protocol.Process{m.options.Self}
	replicas := placement.Replicas(id, m.view, kept, m.options.ReplicationFactor, m.slowStores()...)
	if len(replicas) < m.options.ReplicationFactor || m.retiring {
		m.rejectCalls(a)
		m.releaseReservations(id, a.attempt)
		return
	}
	content := a.content.Encode()
	version := versionOf(m.view.Epoch, 0)
	record := encodeCopy(id, version, replicas, false, content, nil)
	j := &storedJob{}
	at := m.write(record, true, func() {
		j.versionDurable = true
		m.replicateJob(j)
		m.maybeCommit(j)
	})
	contentAt, _ := locateCopy(record, at)
	decoded, err := newStoredJob(content, contentAt)
	if err != nil {
		panic("replica: an encoded batch job can't be read: " + err.Error())
	}
	*j = *decoded
	j.content = content
	j.owned = true
	j.setReplicas(version, replicas, m.self)
	j.assumePeersEmpty()
	j.replaceReplicasAt = m.env.Now() + replaceReplicasAfter
	for _, p := range a.calls {
		j.pendingSubmissions = append(j.pendingSubmissions, p.callID)
	}
	m.putJob(j)
	delete(m.owners, id)
	m.announceOwner(id, m.self)
}

// yieldAcceptance ends an acceptance, and redirects its calls to the store that holds the batch job or continues to
// accept it.
func (m *StateMachine) yieldAcceptance(owner placement.Key, id string, a *acceptance) {
	delete(m.acceptances, id)
	m.releaseReservations(id, a.attempt)
	member, present := placement.MemberOf(m.view, owner)
	for _, p := range a.calls {
		switch {
		case m.jobs[id] != nil:
			m.dispatch(p)
		case present:
			m.answer(p.callID, protocol.BatchAnswer{Owner: member.IP})
		default:
			m.answer(p.callID, unavailable())
		}
	}
}

// rejectCalls answers an acceptance's calls that the batch job was not accepted.
func (m *StateMachine) rejectCalls(a *acceptance) {
	for _, p := range a.calls {
		m.answer(p.callID, unavailable())
	}
}

// resubmit handles a submission of a batch job that is already owned here.
func (m *StateMachine) resubmit(j *storedJob, p parkedCall) {
	j.pendingSubmissions = append(j.pendingSubmissions, p.callID)
	m.acknowledgeSubmissions(j)
}

// acknowledgeSubmissions answers 202 to all waiting submissions, once the batch job is on all disks of its replica
// set and its tokens are within the account's limit.
func (m *StateMachine) acknowledgeSubmissions(j *storedJob) {
	if !j.replicated || m.mayExceedLimit(j) {
		return
	}
	for _, id := range j.pendingSubmissions {
		m.answer(id, accepted())
	}
	j.pendingSubmissions = nil
}

// acceptanceIDs returns the ids of the batch jobs that are being accepted, sorted.
func (m *StateMachine) acceptanceIDs() []string {
	if len(m.acceptances) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.acceptances))
}

package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns how a batch job is accepted.

const (
	reservationRetry = 200 * time.Millisecond
	acceptTimeout    = 2500 * time.Millisecond // that a submission waits for a majority of the arbiters
)

// acceptance is a batch job of which nothing was written yet.
type acceptance struct {
	content     *job.Content
	attempt     uint64 // of this attempt
	calls       []parkedCall
	votes       map[placement.Key]ReservationResponse // of this epoch, by arbiter
	requestedAt time.Duration
	deadline    time.Duration
	tokens      int64         // of all items
	capacity    capacityState // within the bound on waiting tokens
}

// accept begins to take a batch job that isn't known here.
func (m *StateMachine) startAcceptance(p parkedCall) {
	id := p.call.BatchJob
	if a := m.acceptances[id]; a != nil {
		if a.content.Tenant != p.call.Tenant {
			m.answer(p.callID, notFound())
			return
		}
		a.calls = append(a.calls, p)
		return
	}
	if m.retiring || m.diskLags() {
		m.redirectToActive(p)
		return
	}
	if m.tooManyDeparted() || !m.hasCapacity(p) {
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

// fits tells whether there is room for a batch job, and stores enough.
func (m *StateMachine) hasCapacity(p parkedCall) bool {
	if len(placement.ActiveMembers(m.view)) < m.options.ReplicationFactor {
		return false
	}
	if m.options.MaxJobs > 0 && len(m.jobs) >= m.options.MaxJobs {
		return false
	}
	return m.env.FreeBytes()-int64(len(p.call.Body)) > m.options.MinFreeBytes
}

// sendToActive sends a submission to a store that takes batch jobs.
func (m *StateMachine) redirectToActive(p parkedCall) {
	for _, other := range placement.Rank(p.call.BatchJob, placement.ActiveMembers(m.view)) {
		if placement.KeyOf(other) != m.self {
			m.answer(p.callID, protocol.BatchAnswer{Owner: other.IP})
			return
		}
	}
	m.answer(p.callID, unavailable())
}

// askArbiters asks those arbiters for their votes that have not given them to this store.
func (m *StateMachine) requestReservations(id string, a *acceptance) {
	now := m.env.Now()
	if !m.isMember || a.requestedAt > 0 && now-a.requestedAt < reservationRetry {
		return
	}
	a.requestedAt = max(now, 1)
	for _, arbiter := range placement.Arbiters(id, m.view, m.options.ReplicationFactor) {
		key := placement.KeyOf(arbiter)
		switch {
		case a.votes[key].Owner == m.self:
		case key != m.self:
			m.env.Send(arbiter, ReservationRequest{Stamp: m.stamp(), Job: id, Number: a.attempt})
		case m.reconciled && (m.knownHolder(id) != "" || !m.tooManyDeparted()):
			a.votes[key] = m.vote(id, m.self, a.attempt)
		}
	}
	m.countVotes(id)
}

// reservation is an arbiter's vote.
type reservation struct {
	store   placement.Key
	attempt uint64 // of that store's newest attempt
}

// vote answers, as arbiter, who may accept a batch job: always the same store for an id in one epoch, unless that one gives
// the vote back.
func (m *StateMachine) vote(id string, asker placement.Key, number uint64) ReservationResponse {
	answer := ReservationResponse{Stamp: m.stamp(), Job: id, Number: number, Owner: m.knownHolder(id)}
	given, voted := m.reservations[id]
	switch {
	case answer.Owner == "":
		answer.Owner = asker
		m.reservations[id] = reservation{store: asker, attempt: number}
	case voted && given.store == asker && answer.Owner == asker:
		m.reservations[id] = reservation{store: asker, attempt: max(number, given.attempt)}
	default:
		answer.Held = !voted || given.store != answer.Owner
	}
	return answer
}

func (m *StateMachine) handleReservationRequest(from protocol.Process, message ReservationRequest) {
	if !m.reconciled || !m.MayAct() {
		return
	}
	if m.knownHolder(message.Job) != "" || !m.tooManyDeparted() { // else it may have been accepted by stores that are missing
		m.env.Send(from, m.vote(message.Job, placement.KeyOf(from), message.Number))
	}
}

// release takes a vote back, unless it was asked for again since.
func (m *StateMachine) handleReservationRelease(from placement.Key, message ReservationRelease) {
	if given := m.reservations[message.Job]; given.store == from && given.attempt <= message.Number {
		delete(m.reservations, message.Job)
	}
}

// reserved takes an arbiter's answer to this attempt. One to an earlier attempt may have been given back.
func (m *StateMachine) handleReservationResponse(from placement.Key, message ReservationResponse) {
	if a := m.acceptances[message.Job]; a != nil && a.attempt == message.Number {
		a.votes[from] = message
		m.countVotes(message.Job)
	}
}

// decide looks at the votes. Of several stores that want to accept a batch job at the same time the one with the lowest key
// goes on asking, and the others give their votes back.
func (m *StateMachine) countVotes(id string) {
	a := m.acceptances[id]
	if a == nil || !m.MayAct() {
		return
	}
	arbiters := placement.Arbiters(id, m.view, m.options.ReplicationFactor)
	majority := placement.Majority(len(arbiters))
	mine, silent := 0, 0
	var holder, rival placement.Key
	for _, arbiter := range arbiters {
		vote, voted := a.votes[placement.KeyOf(arbiter)]
		switch {
		case !voted:
			silent++
		case vote.Owner == m.self:
			mine++
		case vote.Held:
			holder = vote.Owner
		case vote.Owner < m.self:
			rival = vote.Owner
		}
	}
	switch {
	case m.jobs[id] != nil:
		m.yieldAcceptance("", id, a)
	case len(arbiters) > 0 && mine >= majority:
		m.finishAccepting(a)
	case holder != "":
		m.yieldAcceptance(holder, id, a)
	case rival != "" && mine+silent < majority:
		m.yieldAcceptance(rival, id, a)
	}
}

// finishAccepting writes a batch job that nobody else holds, or refuses it where it doesn't fit. It waits until that is known.
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

// leaveTo sends the calls of an acceptance to the store that holds the batch job or goes on with it.
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

// store writes a batch job here and to the other replicas. From here on nothing is promised.
func (m *StateMachine) writeAccepted(a *acceptance) {
	id := a.content.ID
	replicas := placement.Replicas(id, m.view, []protocol.Process{m.options.Self}, m.options.ReplicationFactor, m.slowStores()...)
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
	contentAt, _ := locateCopy(j, record, at)
	made, err := newStoredJob(content, contentAt)
	if err != nil {
		panic("replica: an encoded batch job can't be read: " + err.Error())
	}
	*j = *made
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

// giveBack frees the votes of an attempt under which nothing was written.
func (m *StateMachine) releaseReservations(id string, number uint64) {
	message := ReservationRelease{Stamp: m.stamp(), Job: id, Number: number}
	for _, arbiter := range placement.Arbiters(id, m.view, m.options.ReplicationFactor) {
		if placement.KeyOf(arbiter) != m.self {
			m.env.Send(arbiter, message)
		} else {
			m.handleReservationRelease(m.self, message)
		}
	}
}

func (m *StateMachine) rejectCalls(a *acceptance) {
	for _, p := range a.calls {
		m.answer(p.callID, unavailable())
	}
}

// submitAgain answers a submission of a batch job that is owned here.
func (m *StateMachine) resubmit(j *storedJob, p parkedCall) {
	j.pendingSubmissions = append(j.pendingSubmissions, p.callID)
	m.acknowledgeSubmissions(j)
}

// answerSubmitters tells those who handed a batch job in that it is taken, once it is on all disks of its set and the counter knows of it.
func (m *StateMachine) acknowledgeSubmissions(j *storedJob) {
	if !j.replicated || m.mayExceedLimit(j) {
		return
	}
	for _, token := range j.pendingSubmissions {
		m.answer(token, accepted())
	}
	j.pendingSubmissions = nil
}

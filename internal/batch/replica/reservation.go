package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// How does a majority of arbiters let one store only accept a batch job's id?

// reservationRetry is the time after which votes that may have been lost are requested again.
const reservationRetry = 200 * time.Millisecond

// reservation is an arbiter's vote.
type reservation struct {
	store   placement.Key
	attempt uint64 // newest of that store
}

// requestReservations asks those arbiters for their votes that have not given them to this store.
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

// vote answers, as an arbiter, who may accept a batch job: always the same store in one epoch, unless that
// one gives the vote back.
func (m *StateMachine) vote(id string, requester placement.Key, number uint64) ReservationResponse {
	answer := ReservationResponse{Stamp: m.stamp(), Job: id, Number: number, Owner: m.knownHolder(id)}
	given, voted := m.reservations[id]
	switch {
	case answer.Owner == "":
		answer.Owner = requester
		m.reservations[id] = reservation{store: requester, attempt: number}
	case voted && given.store == requester && answer.Owner == requester:
		m.reservations[id] = reservation{store: requester, attempt: max(number, given.attempt)}
	default:
		answer.Held = !voted || given.store != answer.Owner
	}
	return answer
}

// handleReservationRequest votes, as an arbiter that is certain of what was accepted before.
func (m *StateMachine) handleReservationRequest(from protocol.Process, message ReservationRequest) {
	if !m.reconciled || !m.MayAct() {
		return
	}
	if m.knownHolder(message.Job) != "" || !m.tooManyDeparted() { // else it may have been accepted by departed stores
		m.env.Send(from, m.vote(message.Job, placement.KeyOf(from), message.Number))
	}
}

// handleReservationRelease takes a vote back, unless it was requested again since.
func (m *StateMachine) handleReservationRelease(from placement.Key, message ReservationRelease) {
	if given := m.reservations[message.Job]; given.store == from && given.attempt <= message.Number {
		delete(m.reservations, message.Job)
	}
}

// handleReservationResponse takes a vote for the present attempt. One for an earlier attempt may have been
// given back.
func (m *StateMachine) handleReservationResponse(from placement.Key, message ReservationResponse) {
	if a := m.acceptances[message.Job]; a != nil && a.attempt == message.Number {
		a.votes[from] = message
		m.countVotes(message.Job)
	}
}

// countVotes decides about an acceptance once the votes allow it. If several stores want to accept a batch
// job at the same time, the one with the lowest key keeps asking, and the others give their votes back.
func (m *StateMachine) countVotes(id string) {
	a := m.acceptances[id]
	if a == nil || !m.MayAct() {
		return
	}
	arbiters := placement.Arbiters(id, m.view, m.options.ReplicationFactor)
	majority := placement.Majority(len(arbiters))
	won, unanswered := 0, 0
	var holder, rival placement.Key
	for _, arbiter := range arbiters {
		vote, voted := a.votes[placement.KeyOf(arbiter)]
		switch {
		case !voted:
			unanswered++
		case vote.Owner == m.self:
			won++
		case vote.Held:
			holder = vote.Owner
		case vote.Owner < m.self:
			rival = vote.Owner
		}
	}
	switch {
	case m.jobs[id] != nil:
		m.yieldAcceptance("", id, a)
	case len(arbiters) > 0 && won >= majority:
		m.finishAccepting(a)
	case holder != "":
		m.yieldAcceptance(holder, id, a)
	case rival != "" && won+unanswered < majority:
		m.yieldAcceptance(rival, id, a)
	}
}

// releaseReservations gives back the votes of an attempt under which nothing was written.
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

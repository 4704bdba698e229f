package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the votes of arbiters: a store may accept a batch job's id only with a majority of them, so that
// no two stores accept the same id.

// reservationRetry is the time after which votes that may have been lost are requested again.
const reservationRetry = 200 * time.Millisecond

// reservation is an arbiter's vote for a store.
type reservation struct {
	store   placement.Key
	attempt uint64 // newest attempt of that store
}

// requestReservations requests the votes of the arbiters that have not voted for this store.
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

// vote returns, as an arbiter, which store may accept a batch job. Within an epoch this is always the same store,
// unless that store releases the vote.
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

// handleReservationRequest answers with this store's vote, if this store is reconciled and may act, and either knows a
// store that holds the batch job or has a reservation for it, or too few stores have departed to have held all copies
// of a batch job.
func (m *StateMachine) handleReservationRequest(from protocol.Process, message ReservationRequest) {
	if !m.reconciled || !m.MayAct() {
		return
	}
	if m.knownHolder(message.Job) != "" || !m.tooManyDeparted() { // otherwise departed stores may have accepted it
		m.env.Send(from, m.vote(message.Job, placement.KeyOf(from), message.Number))
	}
}

// handleReservationRelease removes a vote, unless the store has requested it again in a later attempt.
func (m *StateMachine) handleReservationRelease(from placement.Key, message ReservationRelease) {
	if given := m.reservations[message.Job]; given.store == from && given.attempt <= message.Number {
		delete(m.reservations, message.Job)
	}
}

// handleReservationResponse counts a vote for the present attempt. Votes for earlier attempts are ignored, as they may
// have been released.
func (m *StateMachine) handleReservationResponse(from placement.Key, message ReservationResponse) {
	if a := m.acceptances[message.Job]; a != nil && a.attempt == message.Number {
		a.votes[from] = message
		m.countVotes(message.Job)
	}
}

// countVotes decides an acceptance as soon as the votes suffice. If several stores try to accept a batch job at the
// same time, the store with the lowest key continues to request votes, and the others release theirs.
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

// releaseReservations releases the votes of an attempt in which nothing was written.
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

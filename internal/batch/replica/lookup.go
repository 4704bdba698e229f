package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file looks up, at the arbiters of a batch job's id, the store that holds a batch job which isn't known here.

// lookup is a pending lookup.
type lookup struct {
	number    uint64
	sentAt    time.Duration
	unknownTo map[placement.Key]bool // arbiters that answered that they know of no holder
}

// startLookup asks the arbiters which store holds a batch job that isn't known here. If the batch job was accepted, a
// majority of its arbiters voted for it in this epoch, or knows of it from the inventories.
func (m *StateMachine) startLookup(id string) {
	now := m.env.Now()
	if asked := m.lookups[id]; !m.reconciled || asked != nil && now-asked.sentAt < inventoryRetry {
		return
	}
	m.lastLookup++
	l := &lookup{number: m.lastLookup, sentAt: now, unknownTo: map[placement.Key]bool{}}
	m.lookups[id] = l
	arbiters := placement.Arbiters(id, m.view, m.options.ReplicationFactor)
	for _, arbiter := range arbiters {
		if placement.KeyOf(arbiter) != m.self {
			m.env.Send(arbiter, LookupRequest{Stamp: m.stamp(), Job: id, Number: l.number})
		}
	}
	if placement.Contains(arbiters, m.self) {
		m.handleLookupResponse(m.self, LookupResponse{Job: id, Number: l.number, Owner: m.knownHolder(id)})
	}
}

// handleLookupRequest answers as an arbiter, if this store knows the holder or is certain that there is none.
func (m *StateMachine) handleLookupRequest(from protocol.Process, message LookupRequest) {
	if !m.reconciled || !m.MayAct() {
		return
	}
	if holder := m.knownHolder(message.Job); holder != "" || m.knowsEveryJob() {
		m.env.Send(from, LookupResponse{Stamp: m.stamp(), Job: message.Job, Number: message.Number, Owner: holder})
	}
}

// knownHolder returns the store that holds or may accept a batch job, as far as this store knows as an arbiter, or an
// empty key.
func (m *StateMachine) knownHolder(id string) placement.Key {
	if j := m.jobs[id]; j != nil && j.owned {
		return m.self
	}
	if owner, known := m.owners[id]; known {
		return owner
	}
	if m.jobs[id] != nil {
		return m.self
	}
	return m.reservations[id].store
}

// handleLookupResponse handles an arbiter's answer. If it names this store, an acceptance began here and was not
// completed, which counts as an answer that no store holds the batch job.
func (m *StateMachine) handleLookupResponse(from placement.Key, message LookupResponse) {
	l := m.lookups[message.Job]
	if l == nil || l.number != message.Number || !m.reconciled {
		return
	}
	if message.Owner != "" && message.Owner != m.self {
		delete(m.lookups, message.Job)
		m.noteOwner(message.Job, message.Owner)
		if m.owners[message.Job] == message.Owner {
			m.redispatchParkedCalls(message.Job)
		}
		return
	}
	l.unknownTo[from] = true
	arbiters := placement.Arbiters(message.Job, m.view, m.options.ReplicationFactor)
	if len(l.unknownTo) >= placement.Majority(len(arbiters)) && m.knowsEveryJob() {
		delete(m.lookups, message.Job)
		m.answerNotFound(message.Job, l.sentAt)
	}
}

// answerNotFound answers notFound to the calls for a batch job that were received up to a time at which the batch job
// didn't exist.
func (m *StateMachine) answerNotFound(id string, at time.Duration) {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		if p.call.BatchJob == id && p.receivedAt <= at && m.jobs[id] == nil {
			m.answer(p.callID, notFound())
			continue
		}
		m.parkedCalls = append(m.parkedCalls, p)
	}
}

package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns how an owner brings the other members of a replica set up to its state, and what they do with it.

const (
	replicationRetry = 700 * time.Millisecond
	maxResultBytes   = 512 << 10 // of results in one message, bytes
)

// pump sends each peer of an owned batch job what it lacks.
func (m *StateMachine) replicateJob(h *storedJob) {
	if !h.owned || !m.isMember || !h.versionDurable {
		return
	}
	if len(h.handoverReplicas) > 0 {
		m.sendHandover(h)
		return
	}
	for i := range h.peers {
		m.replicateTo(h, &h.peers[i])
	}
}

func (m *StateMachine) replicateTo(h *storedJob, p *peer) {
	now := m.env.Now()
	if p.awaitsResponse && now-p.sentAt < replicationRetry {
		return
	}
	message := ReplicationRequest{Stamp: m.stamp(), Job: h.id, Version: h.version}
	switch {
	case !p.reported: // ask
	case !p.hasCopy:
		if !m.fillFullCopy(h, &message, h.durableResults) {
			return
		}
	case p.results < h.durableResults || h.endedDurable && !p.ended:
		if !m.fillResults(h, &message, p.results) {
			return
		}
		message.Ended = h.endedDurable
	default:
		return
	}
	p.awaitsResponse, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// fillCopy puts a whole copy into a message. It tells whether it could be read.
func (m *StateMachine) fillFullCopy(h *storedJob, message *ReplicationRequest, count int) bool {
	content := h.content
	if content == nil {
		read, err := m.env.Read(h.contentAt)
		if err != nil {
			return false
		}
		content = read
	}
	message.Content, message.Replicas, message.Ended = content, h.replicas, h.endedDurable
	for position := range count {
		result, ok := m.result(h, position)
		if !ok {
			return false
		}
		message.Results = append(message.Results, result)
	}
	return true
}

func (m *StateMachine) fillResults(h *storedJob, message *ReplicationRequest, start int) bool {
	message.Start = start
	size := 0
	for position := start; position < h.durableResults && size < maxResultBytes; position++ {
		result, ok := m.result(h, position)
		if !ok {
			return false
		}
		size += len(result.Text)
		message.Results = append(message.Results, result)
	}
	return true
}

// result gives a listed item with its text.
func (m *StateMachine) result(h *storedJob, position int) (Result, bool) {
	if fresh := h.uncommitted[position]; fresh != nil {
		return *fresh, true
	}
	listed := &h.results[position]
	text, err := m.env.Read(listed.at)
	if err != nil {
		return Result{}, false
	}
	return Result{Item: int(listed.item), State: byte(listed.state), Text: text}, true
}

// replicate takes what the owner sends.
func (m *StateMachine) handleReplicationRequest(from protocol.Process, message ReplicationRequest) {
	h := m.jobs[message.Job]
	switch {
	case h != nil && h.owned: // a retiring store asks whether the set is whole without it
		m.sendReplicationResponse(h, from)
	case h != nil && h.version == message.Version && !h.corrupt:
		m.appendResults(h, from, message)
	case h != nil && h.version > message.Version:
		m.sendOwnerNotice(from, message.Job) // who may be asked instead
	case message.Content == nil: // no copy of that version is here, or no whole one
		m.sendOwnerNotice(from, message.Job)
		none := h == nil && m.reconciled && m.owners[message.Job] == ""
		m.env.Send(from, ReplicationResponse{Stamp: m.stamp(), Job: message.Job, Version: message.Version, None: none})
	default:
		m.installCopy(from, message)
	}
}

// adopt writes a whole copy, in place of what was held.
func (m *StateMachine) installCopy(from protocol.Process, message ReplicationRequest) {
	record := encodeCopy(message.Job, message.Version, message.Replicas, message.Ended, message.Content, message.Results)
	h, err := newStoredJob(message.Content, wal.Location{})
	if err != nil || h.id != message.Job {
		return
	}
	if old := m.jobs[message.Job]; old != nil {
		m.followOwner(old)
		h.previousAt = old.oldestLocation()
	}
	at := m.write(record, true, func() {
		h.versionDurable, h.previousAt = true, nil
		h.durableResults = max(h.durableResults, len(message.Results))
		h.endedDurable = message.Ended
		m.sendReplicationResponse(h, from)
		m.takeHandover(h)
	})
	h.version, h.replicas, h.ended = message.Version, message.Replicas, message.Ended
	h.contentAt, h.results = locateCopy(h, record, at)
	for i := range h.results {
		h.markFinished(int(h.results[i].item))
	}
	m.putJob(h)
	m.owners[message.Job] = placement.KeyOf(from)
}

// extend appends results to a copy of the same version.
func (m *StateMachine) appendResults(h *storedJob, from protocol.Process, message ReplicationRequest) {
	for i := range message.Results {
		position := message.Start + i
		if position != len(h.results) {
			continue
		}
		result := message.Results[i]
		record := encodeResult(h.id, position, &result)
		at := m.write(record, message.Ended, func() { h.durableResults = max(h.durableResults, position+1) })
		h.appendResult(storedResultOf(&result, at.Part(uint32(len(record)-len(result.Text)), uint32(len(result.Text)))))
	}
	if message.Ended && !h.ended {
		h.ended = true
		m.write(encodeEnded(h.id), true, func() { h.endedDurable = true })
	}
	m.afterPendingWrites(func() { m.sendReplicationResponse(h, from) })
}

// afterWrites calls a function once all that was written so far is durable.
func (m *StateMachine) afterPendingWrites(then func()) {
	if len(m.pendingWrites) == 0 {
		then()
		return
	}
	last := m.pendingWrites[len(m.pendingWrites)-1]
	m.pendingWrites = append(m.pendingWrites, pendingWrite{sequence: last.sequence, queuedAt: last.queuedAt, onDurable: then})
}

func (m *StateMachine) sendReplicationResponse(h *storedJob, to protocol.Process) {
	if m.jobs[h.id] != h {
		return
	}
	stands := h.owned && h.isFullyReplicated()
	m.env.Send(to, ReplicationResponse{
		Stamp: m.stamp(), Job: h.id, Held: h.versionDurable, Version: h.version, Count: h.durableResults, Ended: h.endedDurable,
		Stands: stands, Whole: stands && !placement.Contains(h.replicas, placement.KeyOf(to)),
	})
}

// tellOwner names the owner of a batch job to a store that took this one for it.
func (m *StateMachine) sendOwnerNotice(to protocol.Process, id string) {
	if owner := m.owners[id]; owner != "" && owner != placement.KeyOf(to) && owner != m.self {
		m.env.Send(to, OwnerNotice{Stamp: m.stamp(), Job: id, Owner: owner})
	}
}

// standsElsewhere takes the word of a batch job's owner that all of its set hold it: nothing of it hangs on this store any more. It
// must be the owner's own word in this epoch. What all stores tell of themselves isn't of one moment, and an owner that has just
// come to it may have told before that all that it owned stood whole.
func (m *StateMachine) noteReplicatedElsewhere(from placement.Key, id string) {
	if c, conceded := m.transfers[id]; conceded && c.to == from {
		delete(m.transfers, id)
	}
	if h := m.jobs[id]; h != nil && !h.owned && h.superseded {
		h.releasable = true
	}
	m.checkReconciled()
	m.checkAllReconciled()
}

// wasDropped tells that the owner of a batch job whose copy was left behind here has none any more, as its time is over. The copy here may
// not know that the batch job is closed.
func (m *StateMachine) expiredAtOwner(h *storedJob, from placement.Key, message ReplicationResponse) bool {
	return h.superseded && !h.owned && from == m.owners[h.id] && message.None && m.isExpired(h)
}

// replicated takes a peer's account.
func (m *StateMachine) handleReplicationResponse(from placement.Key, message ReplicationResponse) {
	m.checkTransferRejected(from, message)
	if message.Stands {
		m.noteReplicatedElsewhere(from, message.Job)
	}
	h := m.jobs[message.Job]
	if h == nil {
		return
	}
	if m.expiredAtOwner(h, from, message) {
		m.discard(h)
		m.checkReconciled()
		return
	}
	if !h.owned {
		h.handedOver = h.handedOver || m.retiring && message.Whole
		return
	}
	if len(h.handoverReplicas) > 0 {
		m.handleHandoverResponse(h, from, message)
		return
	}
	p := h.peer(from)
	if p == nil || message.Version != h.version {
		return
	}
	p.reported, p.awaitsResponse = true, false
	p.hasCopy = p.hasCopy || message.Held // what is on its disk stays there: an answer that says less is an earlier one
	p.results = max(p.results, message.Count)
	p.ended = p.ended || message.Ended
	m.maybeCommit(h)
	m.replicateTo(h, p)
}

// judge draws what follows from what the replicas hold.
func (m *StateMachine) maybeCommit(h *storedJob) {
	if !h.owned || len(h.handoverReplicas) > 0 || len(h.replicas) < m.options.ReplicationFactor {
		return
	}
	whole, shown, ended := h.onAllReplicas()
	if !whole && !h.replicated {
		return
	}
	for ; h.committedResults < shown; h.committedResults++ {
		delete(h.uncommitted, h.committedResults)
	}
	if !h.replicated {
		h.replicated = true
		h.content = nil
		h.replaceReplicasAt = 0
		m.onFullyReplicated(h)
	}
	m.answerReads(h)
	if ended {
		m.acknowledgeEnds(h)
	}
	m.checkReconciled()
}

func (m *StateMachine) onFullyReplicated(h *storedJob) {
	m.acknowledgeSubmissions(h)
	if !h.ended && !h.allFinished() {
		m.env.Start(h.id)
	}
	m.checkReconciled()
	m.retryParkedCalls()
}

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
func (m *StateMachine) replicateJob(j *storedJob) {
	if !j.owned || !m.isMember || !j.versionDurable {
		return
	}
	if len(j.handoverReplicas) > 0 {
		m.sendHandover(j)
		return
	}
	for i := range j.peers {
		m.replicateTo(j, &j.peers[i])
	}
}

func (m *StateMachine) replicateTo(j *storedJob, p *peer) {
	now := m.env.Now()
	if p.awaitsResponse && now-p.sentAt < replicationRetry {
		return
	}
	message := ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: j.version}
	switch {
	case !p.reported: // ask
	case !p.hasCopy:
		if !m.fillFullCopy(j, &message, j.durableResults) {
			return
		}
	case p.results < j.durableResults || j.endedDurable && !p.ended:
		if !m.fillResults(j, &message, p.results) {
			return
		}
		message.Ended = j.endedDurable
	default:
		return
	}
	p.awaitsResponse, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// fillCopy puts a whole copy into a message. It tells whether it could be read.
func (m *StateMachine) fillFullCopy(j *storedJob, message *ReplicationRequest, count int) bool {
	content := j.content
	if content == nil {
		read, err := m.env.Read(j.contentAt)
		if err != nil {
			return false
		}
		content = read
	}
	message.Content, message.Replicas, message.Ended = content, j.replicas, j.endedDurable
	for position := range count {
		result, ok := m.result(j, position)
		if !ok {
			return false
		}
		message.Results = append(message.Results, result)
	}
	return true
}

func (m *StateMachine) fillResults(j *storedJob, message *ReplicationRequest, start int) bool {
	message.Start = start
	size := 0
	for position := start; position < j.durableResults && size < maxResultBytes; position++ {
		result, ok := m.result(j, position)
		if !ok {
			return false
		}
		size += len(result.Text)
		message.Results = append(message.Results, result)
	}
	return true
}

// result gives a listed item with its text.
func (m *StateMachine) result(j *storedJob, position int) (Result, bool) {
	if fresh := j.uncommitted[position]; fresh != nil {
		return *fresh, true
	}
	listed := &j.results[position]
	text, err := m.env.Read(listed.at)
	if err != nil {
		return Result{}, false
	}
	return Result{Item: int(listed.item), State: byte(listed.state), Text: text}, true
}

// replicate takes what the owner sends.
func (m *StateMachine) handleReplicationRequest(from protocol.Process, message ReplicationRequest) {
	j := m.jobs[message.Job]
	switch {
	case j != nil && j.owned: // a retiring store asks whether the set is whole without it
		m.sendReplicationResponse(j, from)
	case j != nil && j.version == message.Version && !j.corrupt:
		m.appendResults(j, from, message)
	case j != nil && j.version > message.Version:
		m.sendOwnerNotice(from, message.Job) // who may be asked instead
	case message.Content == nil: // no copy of that version is here, or no whole one
		m.sendOwnerNotice(from, message.Job)
		none := j == nil && m.reconciled && m.owners[message.Job] == ""
		m.env.Send(from, ReplicationResponse{Stamp: m.stamp(), Job: message.Job, Version: message.Version, None: none})
	default:
		m.installCopy(from, message)
	}
}

// adopt writes a whole copy, in place of what was held.
func (m *StateMachine) installCopy(from protocol.Process, message ReplicationRequest) {
	record := encodeCopy(message.Job, message.Version, message.Replicas, message.Ended, message.Content, message.Results)
	j, err := newStoredJob(message.Content, wal.Location{})
	if err != nil || j.id != message.Job {
		return
	}
	if old := m.jobs[message.Job]; old != nil {
		m.followOwner(old)
		j.previousAt = old.oldestLocation()
	}
	at := m.write(record, true, func() {
		j.versionDurable, j.previousAt = true, nil
		j.durableResults = max(j.durableResults, len(message.Results))
		j.endedDurable = message.Ended
		m.sendReplicationResponse(j, from)
		m.takeHandover(j)
	})
	j.version, j.replicas, j.ended = message.Version, message.Replicas, message.Ended
	j.contentAt, j.results = locateCopy(j, record, at)
	for i := range j.results {
		j.markFinished(int(j.results[i].item))
	}
	m.putJob(j)
	m.owners[message.Job] = placement.KeyOf(from)
}

// extend appends results to a copy of the same version.
func (m *StateMachine) appendResults(j *storedJob, from protocol.Process, message ReplicationRequest) {
	for i := range message.Results {
		position := message.Start + i
		if position != len(j.results) {
			continue
		}
		result := message.Results[i]
		record := encodeResult(j.id, position, &result)
		at := m.write(record, message.Ended, func() { j.durableResults = max(j.durableResults, position+1) })
		j.appendResult(storedResultOf(&result, at.Part(uint32(len(record)-len(result.Text)), uint32(len(result.Text)))))
	}
	if message.Ended && !j.ended {
		j.ended = true
		m.write(encodeEnded(j.id), true, func() { j.endedDurable = true })
	}
	m.afterPendingWrites(func() { m.sendReplicationResponse(j, from) })
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

func (m *StateMachine) sendReplicationResponse(j *storedJob, to protocol.Process) {
	if m.jobs[j.id] != j {
		return
	}
	stands := j.owned && j.isFullyReplicated()
	m.env.Send(to, ReplicationResponse{
		Stamp: m.stamp(), Job: j.id, Held: j.versionDurable, Version: j.version, Count: j.durableResults, Ended: j.endedDurable,
		Stands: stands, Whole: stands && !placement.Contains(j.replicas, placement.KeyOf(to)),
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
	if j := m.jobs[id]; j != nil && !j.owned && j.superseded {
		j.releasable = true
	}
	m.checkReconciled()
	m.checkAllReconciled()
}

// wasDropped tells that the owner of a batch job whose copy was left behind here has none any more, as its time is over. The copy here may
// not know that the batch job is closed.
func (m *StateMachine) expiredAtOwner(j *storedJob, from placement.Key, message ReplicationResponse) bool {
	return j.superseded && !j.owned && from == m.owners[j.id] && message.None && m.isExpired(j)
}

// replicated takes a peer's account.
func (m *StateMachine) handleReplicationResponse(from placement.Key, message ReplicationResponse) {
	m.checkTransferRejected(from, message)
	if message.Stands {
		m.noteReplicatedElsewhere(from, message.Job)
	}
	j := m.jobs[message.Job]
	if j == nil {
		return
	}
	if m.expiredAtOwner(j, from, message) {
		m.discard(j)
		m.checkReconciled()
		return
	}
	if !j.owned {
		j.handedOver = j.handedOver || m.retiring && message.Whole
		return
	}
	if len(j.handoverReplicas) > 0 {
		m.handleHandoverResponse(j, from, message)
		return
	}
	p := j.peer(from)
	if p == nil || message.Version != j.version {
		return
	}
	p.reported, p.awaitsResponse = true, false
	p.hasCopy = p.hasCopy || message.Held // what is on its disk stays there: an answer that says less is an earlier one
	p.results = max(p.results, message.Count)
	p.ended = p.ended || message.Ended
	m.maybeCommit(j)
	m.replicateTo(j, p)
}

// judge draws what follows from what the replicas hold.
func (m *StateMachine) maybeCommit(j *storedJob) {
	if !j.owned || len(j.handoverReplicas) > 0 || len(j.replicas) < m.options.ReplicationFactor {
		return
	}
	whole, shown, ended := j.onAllReplicas()
	if !whole && !j.replicated {
		return
	}
	for ; j.committedResults < shown; j.committedResults++ {
		delete(j.uncommitted, j.committedResults)
	}
	if !j.replicated {
		j.replicated = true
		j.content = nil
		j.replaceReplicasAt = 0
		m.onFullyReplicated(j)
	}
	m.answerReads(j)
	if ended {
		m.acknowledgeEnds(j)
	}
	m.checkReconciled()
}

func (m *StateMachine) onFullyReplicated(j *storedJob) {
	m.acknowledgeSubmissions(j)
	if !j.ended && !j.allFinished() {
		m.env.Start(j.id)
	}
	m.checkReconciled()
	m.retryParkedCalls()
}

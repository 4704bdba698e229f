package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the owner's side of replication: it brings the other replicas up to its state, and commits
// results.

const (
	// replicationRetry is the time after which an unanswered request is sent again.
	replicationRetry = 700 * time.Millisecond
	// maxResultBytes limits the total length of the result texts in one request. The last result may exceed it.
	maxResultBytes = 512 << 10
)

// replicateJob sends each peer of an owned batch job what it lacks.
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
	m.notifyReplaced(j)
}

// replicateTo sends a peer what it lacks, unless a response of the peer is awaited.
func (m *StateMachine) replicateTo(j *storedJob, p *peer) {
	now := m.env.Now()
	if p.awaitsResponse && now-p.sentAt < replicationRetry {
		return
	}
	message := ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: j.version}
	switch {
	case !p.reported: // an empty request asks for the peer's state
	case !p.hasCopy:
		if !m.fillFullCopy(j, &message, j.durableResults) {
			return
		}
	case p.durableResults < j.durableResults || j.endedDurable && !p.ended:
		if !m.fillResults(j, &message, p.durableResults) {
			return
		}
		message.Ended = j.endedDurable
	case p.failuresKnown < j.failuresVersion:
	default:
		return
	}
	message.Failures, p.failuresSent = j.listFailures(), j.failuresVersion
	p.awaitsResponse, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// fillFullCopy adds the content, the replica set, the end and the first count results to a request. It reports whether
// the content and the results could be read.
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

// fillResults adds durable results from a position on to a request, up to maxResultBytes. It reports whether they
// could be read.
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

// result returns the result at a position with its text. It reports whether the text could be read.
func (m *StateMachine) result(j *storedJob, position int) (Result, bool) {
	if uncommitted := j.uncommitted[position]; uncommitted != nil {
		return *uncommitted, true
	}
	listed := &j.results[position]
	text, err := m.env.Read(listed.at)
	if err != nil {
		return Result{}, false
	}
	return Result{Item: int(listed.item), State: byte(listed.state), Text: text}, true
}

// handleReplicationResponse handles a report of what is durable at another store.
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
	if message.Version != j.version {
		return
	}
	p := j.peer(from)
	if p == nil {
		j.replaced = slices.DeleteFunc(j.replaced, func(one protocol.Process) bool { return placement.KeyOf(one) == from })
		return
	}
	p.reported, p.awaitsResponse = true, false
	p.failuresKnown = p.failuresSent
	j.mergeFailures(message.Failures)
	p.hasCopy = p.hasCopy || message.Held // what is on a disk stays there: a response that reports less was sent earlier
	p.durableResults = max(p.durableResults, message.Count)
	p.ended = p.ended || message.Ended
	m.maybeCommit(j)
	m.replicateTo(j, p)
}

// maybeCommit commits the results that are durable on all replicas, and answers the calls that waited for them or for
// the end.
func (m *StateMachine) maybeCommit(j *storedJob) {
	if !j.owned || len(j.handoverReplicas) > 0 || len(j.replicas) < m.options.ReplicationFactor {
		return
	}
	copied, results, ended := j.onAllReplicas()
	if !copied && !j.replicated {
		return
	}
	for ; j.committedResults < results; j.committedResults++ {
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

// onFullyReplicated starts to serve and run a batch job when all its replicas hold it.
func (m *StateMachine) onFullyReplicated(j *storedJob) {
	m.acknowledgeSubmissions(j)
	if !j.ended && !j.allFinished() {
		m.env.Start(j.id)
	}
	m.checkReconciled()
	m.retryParkedCalls()
}

// resetPeer discards what is known of the copies at a store that restarted, because it may have found them corrupt.
func (m *StateMachine) resetPeer(key placement.Key) {
	for _, j := range m.jobsInOrder {
		if p := j.peer(key); j.owned && p != nil {
			*p = peer{process: p.process}
			m.revokeReconciled()
		}
	}
}

package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the replica's side of replication.

// handleReplicationRequest applies a request of the owner, or answers a query of a store that assumes this store to be
// the owner.
func (m *StateMachine) handleReplicationRequest(from protocol.Process, message ReplicationRequest) {
	j := m.jobs[message.Job]
	if j != nil {
		j.mergeFailures(message.Failures)
	}
	switch {
	case j != nil && j.owned: // a store that wants to release its copy asks whether the batch job is fully replicated
		m.sendReplicationResponse(j, from)
	case j != nil && j.version == message.Version && !j.corrupt:
		m.appendResults(j, from, message)
	case j != nil && j.version > message.Version:
		m.sendOwnerNotice(from, message.Job) // the owner has the newer version
	case message.Content == nil && j != nil && isReplacedBy(m.self, message):
		m.noteSuperseded(j, placement.KeyOf(from))
	case message.Content == nil: // no sound copy of that version is here
		m.sendOwnerNotice(from, message.Job)
		none := j == nil && m.reconciled && m.owners[message.Job] == ""
		m.env.Send(from, ReplicationResponse{Stamp: m.stamp(), Job: message.Job, Version: message.Version, None: none})
	default:
		m.installCopy(from, message)
	}
}

// isReplacedBy reports whether an owner's request has a replica set without the given store.
func isReplacedBy(key placement.Key, message ReplicationRequest) bool {
	return len(message.Replicas) > 0 && !placement.Contains(message.Replicas, key)
}

// installCopy writes a full copy that an owner sent, replacing an earlier copy.
func (m *StateMachine) installCopy(from protocol.Process, message ReplicationRequest) {
	record := encodeCopy(message.Job, message.Version, message.Replicas, message.Ended, message.Content, message.Results)
	j, err := newStoredJob(message.Content, wal.Location{})
	if err != nil || j.id != message.Job {
		return
	}
	if old := m.jobs[message.Job]; old != nil {
		m.followOwner(old)
		j.previousAt = old.oldestLocation()
		j.mergeFailures(old.listFailures())
	}
	j.mergeFailures(message.Failures)
	at := m.write(record, true, func() {
		j.versionDurable, j.previousAt = true, nil
		j.durableResults = max(j.durableResults, len(message.Results))
		j.endedDurable = message.Ended
		m.sendReplicationResponse(j, from)
		m.takeHandover(j)
	})
	j.version, j.replicas, j.ended = message.Version, message.Replicas, message.Ended
	j.contentAt, j.results = locateCopy(record, at)
	for i := range j.results {
		j.markFinished(int(j.results[i].item))
	}
	m.putJob(j)
	m.owners[message.Job] = placement.KeyOf(from)
}

// appendResults adds the results and the end of an owner's request to a copy of the same version.
func (m *StateMachine) appendResults(j *storedJob, from protocol.Process, message ReplicationRequest) {
	for i := range message.Results {
		position := message.Start + i
		if position != len(j.results) {
			continue
		}
		result := message.Results[i]
		record := encodeResult(j.id, position, &result)
		at := m.write(record, message.Ended, func() { j.durableResults = max(j.durableResults, position+1) })
		j.appendResult(storedResultOf(&result, locateLast(result.Text, record, at)))
	}
	if message.Ended && !j.ended {
		j.ended = true
		m.write(encodeEnded(j.id), true, func() { j.endedDurable = true })
	}
	m.afterPendingWrites(func() { m.sendReplicationResponse(j, from) })
}

// sendReplicationResponse reports to another store what is durable here.
func (m *StateMachine) sendReplicationResponse(j *storedJob, to protocol.Process) {
	if m.jobs[j.id] != j {
		return
	}
	replicated := j.owned && j.isFullyReplicated()
	m.env.Send(to, ReplicationResponse{
		Stamp: m.stamp(), Job: j.id, Version: j.version,
		Held: j.versionDurable, Count: j.durableResults, Ended: j.endedDurable,
		Stands: replicated, Whole: replicated && !placement.Contains(j.replicas, placement.KeyOf(to)),
		Failures: j.listFailures(),
	})
}

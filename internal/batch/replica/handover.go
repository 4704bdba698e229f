package replica

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns how a retiring store gives its batch jobs away: it copies one to the first store of a new replica set,
// which owns it from then on and fills the others; once that store tells that the set is whole, nothing here is needed.

// handOver chooses the set that a batch job goes to. Its own copy stays as it is, under the old version.
func (m *StateMachine) startHandover(j *storedJob) {
	j.peers = nil
	j.replicated = false
	var kept []protocol.Process
	for _, replica := range j.replicas {
		member, present := placement.MemberOf(m.view, placement.KeyOf(replica))
		if present && member.State == protocol.StoreActive {
			kept = append(kept, replica)
		}
	}
	j.handoverReplicas = placement.Replicas(j.id, m.view, kept, m.options.ReplicationFactor)
	if len(j.handoverReplicas) < m.options.ReplicationFactor {
		j.handoverReplicas = nil
		m.reconfigure(j) // too few are left: it stays until the view changes
		return
	}
	m.env.Stop(j.id)
	j.peers = []peer{{process: j.handoverReplicas[0]}}
}

// handoverVersion is the version of the set that a batch job goes to.
func (m *StateMachine) handoverVersion(j *storedJob) Version { return j.version.next(m.view.Epoch) }

func (m *StateMachine) sendHandover(h *storedJob) {
	p := &h.peers[0]
	now := m.env.Now()
	if h.handedOver || p.awaitsResponse && now-p.sentAt < replicationRetry || h.durableResults < len(h.results) || h.ended != h.endedDurable {
		return
	}
	message := ReplicationRequest{Stamp: m.stamp(), Job: h.id, Version: m.handoverVersion(h)}
	if p.reported && !p.hasCopy {
		if p.copySentAt > 0 && now-p.copySentAt < replicationRetry {
			return // it may have yet to be written there
		}
		p.copySentAt = now
		if !m.fillFullCopy(h, &message, h.durableResults) {
			return
		}
		message.Replicas = h.handoverReplicas
	}
	p.awaitsResponse, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// handedOver takes the successor's account.
func (m *StateMachine) handleHandoverResponse(j *storedJob, from placement.Key, message ReplicationResponse) {
	p := &j.peers[0]
	if placement.KeyOf(p.process) != from || j.handedOver {
		return
	}
	p.reported, p.awaitsResponse = true, false
	p.hasCopy = message.Held && message.Version == m.handoverVersion(j)
	if p.hasCopy && message.Whole {
		j.handedOver, j.owned = true, false
		j.peers, j.handoverReplicas = nil, nil
		m.owners[j.id] = from
		m.redirectPending(j)
		m.announceOwner(j.id, from)
		m.checkReconciled()
		return
	}
	if p.hasCopy {
		p.awaitsResponse = true // asked again later
		return
	}
	m.sendHandover(j)
}

// inherit owns a copy that a retiring store handed over.
func (m *StateMachine) takeHandover(j *storedJob) {
	if m.jobs[j.id] != j || len(j.replicas) == 0 || placement.KeyOf(j.replicas[0]) != m.self || !m.hasActiveReplicas(j) {
		return
	}
	if uint64(j.version)>>versionBits != m.view.Epoch || j.owned {
		return
	}
	j.owned = true
	m.noteInheritedTokens(j)
	m.revokeReconciled() // its set has to be made whole first
	delete(m.owners, j.id)
	j.setReplicas(j.version, j.replicas, m.self)
	m.announceOwner(j.id, m.self)
	m.replicateJob(j)
	m.maybeCommit(j)
}

// locate gives where content and results of a copy stand within its record.
func locateCopy(j *storedJob, record []byte, at wal.Location) (wal.Location, []storedResult) {
	r := &job.Decoder{Remaining: record[1:]}
	_ = r.Text()
	readReplicas(r)
	_ = r.Take(1)
	content := r.Bytes()
	end := len(record) - len(r.Remaining)
	contentAt := at.Part(uint32(end-len(content)), uint32(len(content)))
	count := r.Uvarint()
	results := make([]storedResult, 0, count)
	for range count {
		results = append(results, readResult(r, record, at))
	}
	return contentAt, results
}

func storedResultOf(result *Result, at wal.Location) storedResult {
	return storedResult{item: int32(result.Item), state: job.State(result.State), at: at}
}

package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the handover of batch jobs by a retiring store.
//
// The store copies each batch job to the first store of a new replica set (the successor), which owns it from then on
// and replicates it to the other stores of the set. Once the successor has confirmed that the batch job is fully
// replicated, the copy of the retiring store isn't needed any more.

// startHandover chooses the new replica set of a batch job. The copy here stays as it is, under the old version.
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
		m.reconfigure(j) // too few active members: the batch job stays here until the view changes
		return
	}
	m.env.Stop(j.id)
	j.peers = []peer{{process: j.handoverReplicas[0]}}
}

// handoverVersion returns the version of the set that a batch job is handed over to.
func (m *StateMachine) handoverVersion(j *storedJob) Version { return j.version.next(m.view.Epoch) }

// sendHandover asks the successor for its state, or sends it a full copy.
func (m *StateMachine) sendHandover(j *storedJob) {
	p := &j.peers[0]
	now := m.env.Now()
	if j.handedOver || p.awaitsResponse && now-p.sentAt < replicationRetry {
		return
	}
	if j.durableResults < len(j.results) || j.ended != j.endedDurable {
		return // all results and the end have to be durable first
	}
	message := ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: m.handoverVersion(j)}
	if p.reported && !p.hasCopy {
		if p.copySentAt > 0 && now-p.copySentAt < replicationRetry {
			return // the successor may not have written the copy to its disk yet
		}
		p.copySentAt = now
		if !m.fillFullCopy(j, &message, j.durableResults) {
			return
		}
		message.Replicas = j.handoverReplicas
	}
	message.Failures = j.listFailures()
	p.awaitsResponse, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// handleHandoverResponse handles the successor's report of what is durable there. The handover is complete when the
// successor's set is fully replicated.
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
		p.awaitsResponse = true // sendHandover asks again after replicationRetry
		return
	}
	m.sendHandover(j)
}

// takeHandover makes this store the owner of a copy that a retiring store handed over.
func (m *StateMachine) takeHandover(j *storedJob) {
	if m.jobs[j.id] != j || len(j.replicas) == 0 || placement.KeyOf(j.replicas[0]) != m.self || !m.hasActiveReplicas(j) {
		return
	}
	if j.version.epoch() != m.view.Epoch || j.owned {
		return
	}
	j.owned = true
	m.noteInheritedTokens(j)
	m.revokeReconciled() // the batch job has to be fully replicated first
	delete(m.owners, j.id)
	delete(m.transfers, j.id) // this store becomes the owner of a batch job that it had transferred to the retiring store
	j.setReplicas(j.version, j.replicas, m.self)
	m.announceOwner(j.id, m.self)
	m.replicateJob(j)
	m.maybeCommit(j)
}

// drained reports whether this store is retiring and all its batch jobs have been handed over, so that it holds nothing
// that other stores don't. It is false until all members have reconciled, because until then a member may still choose
// replica sets in this epoch, and while there is no active member.
func (m *StateMachine) drained() bool {
	if !m.retiring || !m.reconciled || len(m.acceptances) > 0 {
		return false
	}
	if !m.allReconciled() || len(placement.ActiveMembers(m.view)) == 0 {
		return false
	}
	for _, j := range m.jobsInOrder {
		if !j.handedOver {
			return false
		}
	}
	return true
}

package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// How does a retiring store hand its batch jobs over?
//
// It copies each to the first store of a new replica set, which owns it from then on and replicates it to the
// rest. Once that store has confirmed that the set is fully replicated, nothing here is needed.

// startHandover chooses the set that a batch job goes to. The copy here stays as it is, under the old
// version.
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
		m.reconfigure(j) // too few active members: it stays until the view changes
		return
	}
	m.env.Stop(j.id)
	j.peers = []peer{{process: j.handoverReplicas[0]}}
}

// handoverVersion returns the version of the set that a batch job goes to.
func (m *StateMachine) handoverVersion(j *storedJob) Version { return j.version.next(m.view.Epoch) }

// sendHandover asks the successor for its state, or sends it a full copy.
func (m *StateMachine) sendHandover(j *storedJob) {
	p := &j.peers[0]
	now := m.env.Now()
	if j.handedOver || p.awaitsResponse && now-p.sentAt < replicationRetry {
		return
	}
	if j.durableResults < len(j.results) || j.ended != j.endedDurable {
		return // what is listed has to be durable first
	}
	message := ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: m.handoverVersion(j)}
	if p.reported && !p.hasCopy {
		if p.copySentAt > 0 && now-p.copySentAt < replicationRetry {
			return // the copy may still be on its way to the disk there
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

// handleHandoverResponse takes in what is durable at the successor.
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

// takeHandover owns a copy that a retiring store handed over.
func (m *StateMachine) takeHandover(j *storedJob) {
	if m.jobs[j.id] != j || len(j.replicas) == 0 || placement.KeyOf(j.replicas[0]) != m.self || !m.hasActiveReplicas(j) {
		return
	}
	if j.version.epoch() != m.view.Epoch || j.owned {
		return
	}
	j.owned = true
	m.noteInheritedTokens(j)
	m.revokeReconciled() // it has to be fully replicated first
	delete(m.owners, j.id)
	delete(m.transfers, j.id) // a batch job that was transferred to the retiring store falls to this one again
	j.setReplicas(j.version, j.replicas, m.self)
	m.announceOwner(j.id, m.self)
	m.replicateJob(j)
	m.maybeCommit(j)
}

// drained reports whether a retiring store holds nothing that other stores don't. It waits until all members
// have reconciled, so that none has yet to choose sets in this epoch, and until there is an active member.
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

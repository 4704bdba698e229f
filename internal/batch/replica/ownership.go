package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// How does a store become the owner of a batch job, and how do the others learn of it?

// takeOwnership owns a batch job, with a replica set that is right for the present view.
func (m *StateMachine) takeOwnership(j *storedJob) {
	if j.owned {
		for i := range j.peers {
			j.peers[i].awaitsResponse = false
		}
		m.replicateJob(j)
		return
	}
	delete(m.owners, j.id)
	delete(m.transfers, j.id) // a transferred batch job falls to this store again
	j.owned = true
	m.noteInheritedTokens(j)
	m.revokeReconciled() // it has to be fully replicated first
	switch {
	case m.retiring:
		m.startHandover(j)
	case m.hasActiveReplicas(j) && placement.KeyOf(j.replicas[0]) == m.self && !j.corrupt && m.soleOwnerSince(j.version):
		j.setReplicas(j.version, j.replicas, m.self)
	default:
		m.reconfigure(j)
	}
	m.announceOwner(j.id, m.self)
	m.replicateJob(j)
	m.maybeCommit(j)
}

// soleOwnerSince reports whether nobody else can have owned a batch job since a version was made here. In a
// view without this store another one may have chosen a higher version, and departed before it showed
// anything: to continue under the present version would show what that store doesn't hold when it is back.
func (m *StateMachine) soleOwnerSince(version Version) bool {
	since := m.departures.memberSince
	return since > 0 && version >= versionOf(since, 0)
}

// reconfigure gives a batch job a new replica set: this store, the active members of the old set, and others
// up to ReplicationFactor.
func (m *StateMachine) reconfigure(j *storedJob) {
	kept := []protocol.Process{m.options.Self}
	for _, replica := range j.replicas {
		key := placement.KeyOf(replica)
		member, present := placement.MemberOf(m.view, key)
		if key != m.self && present && member.State == protocol.StoreActive && len(kept) < m.options.ReplicationFactor {
			kept = append(kept, replica)
		}
	}
	replicas := m.addRetiring(placement.Replicas(j.id, m.view, kept, m.options.ReplicationFactor))
	j.setReplicas(j.version.next(m.view.Epoch), replicas, m.self)
	m.writeReplicas(j)
}

// addRetiring adds retiring stores to a set that too few active ones are left for: they leave once others
// have joined.
func (m *StateMachine) addRetiring(replicas []protocol.Process) []protocol.Process {
	for _, member := range m.view.Members {
		needed := len(replicas) < m.options.ReplicationFactor && member.State == protocol.StoreRetiring
		if needed && !placement.Contains(replicas, placement.KeyOf(member.Process)) {
			replicas = append(replicas, member.Process)
		}
	}
	return replicas
}

// writeReplicas makes a new version durable before it is sent to others.
func (m *StateMachine) writeReplicas(j *storedJob) {
	if j.corrupt {
		m.rewriteCopy(j)
		return
	}
	j.versionDurable = false
	version := j.version
	m.write(encodeReplicas(j.id, version, j.replicas), true, func() {
		if j.version == version {
			j.versionDurable = true
			m.replicateJob(j)
			m.maybeCommit(j)
		}
	})
}

// followOwner leaves a batch job to its owner. Items that run here are stopped, and waiting calls are sent
// there.
func (m *StateMachine) followOwner(j *storedJob) {
	j.owned, j.replicated = false, false
	j.peers, j.replaced = nil, nil
	j.content, j.uncommitted = nil, nil
	m.env.Stop(j.id)
	m.redirectPending(j)
}

// announceOwner sends the other members the owner of a batch job.
func (m *StateMachine) announceOwner(id string, owner placement.Key) {
	m.eachOtherMember(func(other protocol.Process) {
		m.env.Send(other, OwnerNotice{Stamp: m.stamp(), Job: id, Owner: owner})
	})
}

// sendOwnerNotice names the owner of a batch job to a store that took this one for it.
func (m *StateMachine) sendOwnerNotice(to protocol.Process, id string) {
	if owner := m.owners[id]; owner != "" && owner != placement.KeyOf(to) && owner != m.self {
		m.env.Send(to, OwnerNotice{Stamp: m.stamp(), Job: id, Owner: owner})
	}
}

// noteOwner records who owns a batch job that isn't owned here.
func (m *StateMachine) noteOwner(id string, owner placement.Key) {
	if j := m.jobs[id]; j != nil && j.owned {
		return
	}
	if _, present := placement.MemberOf(m.view, owner); present && owner != m.self {
		m.owners[id] = owner
		delete(m.lookups, id)
		if transfer, pending := m.transfers[id]; pending { // until it is fully replicated there
			transfer.to = owner
			m.transfers[id] = transfer
		}
	}
}

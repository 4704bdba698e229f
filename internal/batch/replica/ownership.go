package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains how a store becomes the owner of a batch job, and how it informs the other stores.

// takeOwnership makes this store the owner of a batch job, with a replica set that fits the present view.
func (m *StateMachine) takeOwnership(j *storedJob) {
	if j.owned {
		for i := range j.peers {
			j.peers[i].awaitsResponse = false
		}
		m.replicateJob(j)
		return
	}
	delete(m.owners, j.id)
	delete(m.transfers, j.id) // this store becomes the owner of a batch job that it had transferred
	j.owned = true
	m.noteInheritedTokens(j)
	m.revokeReconciled() // the batch job has to be fully replicated first
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

// soleOwnerSince reports whether no other store can have owned a batch job since a version was chosen, because this
// store has been a member of all views since. In a view without this store, another store may have chosen a higher
// version, and departed before it showed anything. If this store continued under the present version, it would show
// results that the other store doesn't hold when it returns.
func (m *StateMachine) soleOwnerSince(version Version) bool {
	since := m.departures.memberSince
	return since > 0 && version >= versionOf(since, 0)
}

// reconfigure gives a batch job a new replica set under a new version: this store, the active members of the old set,
// and other stores up to ReplicationFactor.
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

// addRetiring adds retiring stores to a replica set if there are too few active stores. They leave the set once other
// stores have joined.
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

// followOwner ends this store's ownership of a batch job whose owner is known. Items that run here are stopped, and
// waiting calls are redirected to the owner.
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

// sendOwnerNotice names the owner of a batch job to a store that assumed this store to be the owner.
func (m *StateMachine) sendOwnerNotice(to protocol.Process, id string) {
	if owner := m.owners[id]; owner != "" && owner != placement.KeyOf(to) && owner != m.self {
		m.env.Send(to, OwnerNotice{Stamp: m.stamp(), Job: id, Owner: owner})
	}
}

// noteOwner records the owner of a batch job that isn't owned here.
func (m *StateMachine) noteOwner(id string, owner placement.Key) {
	if j := m.jobs[id]; j != nil && j.owned {
		return
	}
	if _, present := placement.MemberOf(m.view, owner); present && owner != m.self {
		m.owners[id] = owner
		delete(m.lookups, id)
		if transfer, pending := m.transfers[id]; pending { // it stays pending until the new owner has replicated it fully
			transfer.to = owner
			m.transfers[id] = transfer
		}
	}
}

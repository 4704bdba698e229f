package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what is done about stores that don't write in time while a client waits for an acceptance: those that are
// down, cut off or frozen and still in the view, and those whose disks are slow.

const (
	replaceReplicasAfter = 80 * time.Millisecond // without a word that a peer has written a new batch job
	slowPenalty          = 1500 * time.Millisecond
	maxNewJobs           = 32                     // that may be new
	maxDiskLag           = 150 * time.Millisecond // of this store's own disk, from which it takes no new batch jobs
)

// diskLags tells that this store's disk is behind.
func (m *StateMachine) diskLags() bool {
	return len(m.pendingWrites) > 0 && m.env.Now()-m.pendingWrites[0].queuedAt > maxDiskLag
}

// slowStores lists the stores that are passed over.
func (m *StateMachine) slowStores() []placement.Key {
	var keys []placement.Key
	now := m.env.Now()
	for key, until := range m.slowUntil {
		if now < until {
			keys = append(keys, key)
		}
	}
	return keys
}

// Pressing tells that a client waits for an acceptance, and Tick is wanted more often.
func (m *StateMachine) NeedsFastTick() bool {
	if len(m.acceptances) > 0 {
		return true
	}
	for i := len(m.order) - 1; i >= max(0, len(m.order)-maxNewJobs); i-- {
		if m.order[i].replaceReplicasAt > 0 {
			return true
		}
	}
	return false
}

// expectNothing notes that no peer holds a copy.
func (j *storedJob) assumePeersEmpty() {
	for i := range j.peers {
		j.peers[i].reported = true
	}
}

// replaceSlow chooses another replica set for a batch job that is being accepted, where members have not written it in time
// and there are others. The version rises: what they may still write counts for nothing.
func (m *StateMachine) replaceSlowReplicas(j *storedJob, now time.Duration) {
	if j.replaceReplicasAt == 0 || now < j.replaceReplicasAt || j.replicated || !j.versionDurable || len(j.handoverReplicas) > 0 {
		return
	}
	j.replaceReplicasAt = now + replaceReplicasAfter
	kept := []protocol.Process{m.options.Self}
	for i := range j.peers {
		if p := &j.peers[i]; p.hasCopy {
			kept = append(kept, p.process)
		} else {
			m.slowUntil[placement.KeyOf(p.process)] = now + slowPenalty
		}
	}
	replicas := placement.Replicas(j.id, m.view, kept, m.options.ReplicationFactor, m.slowStores()...)
	for _, replica := range replicas {
		if until, slow := m.slowUntil[placement.KeyOf(replica)]; slow && now < until {
			return // there is no other
		}
	}
	if len(replicas) < m.options.ReplicationFactor || len(kept) == m.options.ReplicationFactor {
		return
	}
	j.setReplicas(j.version.next(m.view.Epoch), replicas, m.self)
	j.assumePeersEmpty()
	m.writeReplicas(j)
}

// writeReplicas has a new version last before it is told to others.
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

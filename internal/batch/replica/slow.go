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
func (h *storedJob) assumePeersEmpty() {
	for i := range h.peers {
		h.peers[i].reported = true
	}
}

// replaceSlow chooses another replica set for a batch job that is being accepted, where members have not written it in time
// and there are others. The version rises: what they may still write counts for nothing.
func (m *StateMachine) replaceSlowReplicas(h *storedJob, now time.Duration) {
	if h.replaceReplicasAt == 0 || now < h.replaceReplicasAt || h.replicated || !h.versionDurable || len(h.handoverReplicas) > 0 {
		return
	}
	h.replaceReplicasAt = now + replaceReplicasAfter
	kept := []protocol.Process{m.options.Self}
	for i := range h.peers {
		if p := &h.peers[i]; p.hasCopy {
			kept = append(kept, p.process)
		} else {
			m.slowUntil[placement.KeyOf(p.process)] = now + slowPenalty
		}
	}
	replicas := placement.Replicas(h.id, m.view, kept, m.options.ReplicationFactor, m.slowStores()...)
	for _, replica := range replicas {
		if until, slow := m.slowUntil[placement.KeyOf(replica)]; slow && now < until {
			return // there is no other
		}
	}
	if len(replicas) < m.options.ReplicationFactor || len(kept) == m.options.ReplicationFactor {
		return
	}
	h.setReplicas(h.version.next(m.view.Epoch), replicas, m.self)
	h.assumePeersEmpty()
	m.writeReplicas(h)
}

// writeReplicas has a new version last before it is told to others.
func (m *StateMachine) writeReplicas(h *storedJob) {
	if h.corrupt {
		m.rewriteCopy(h)
		return
	}
	h.versionDurable = false
	version := h.version
	m.write(encodeReplicas(h.id, version, h.replicas), true, func() {
		if h.version == version {
			h.versionDurable = true
			m.replicateJob(h)
			m.maybeCommit(h)
		}
	})
}

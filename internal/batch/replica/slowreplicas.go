package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file replaces replicas of new batch jobs that don't confirm their copies in time.
//
// Such stores may be down, partitioned or paused while they are still in the view, or have slow disks. Meanwhile a
// client waits for the acceptance.

const (
	// replaceReplicasAfter is the time after which a replica that has not confirmed a new batch job is replaced.
	replaceReplicasAfter = 80 * time.Millisecond
	// slowPenalty is how long a store that was replaced isn't chosen for new batch jobs.
	slowPenalty = 1500 * time.Millisecond
	// maxNewJobs is the number of newest batch jobs that NeedsFastTick checks. It assumes that no older ones still
	// wait for replicas.
	maxNewJobs = 32
	// maxDiskLag is the time for which a record may wait for this store's own disk. While one waits longer, the store
	// accepts no new batch jobs.
	maxDiskLag = 150 * time.Millisecond
)

// diskLags reports whether the oldest pending write waits for longer than maxDiskLag.
func (m *StateMachine) diskLags() bool {
	return len(m.pendingWrites) > 0 && m.env.Now()-m.pendingWrites[0].queuedAt > maxDiskLag
}

// slowStores lists the stores that are not chosen for new batch jobs at present because they were slow.
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

// NeedsFastTick reports whether Tick should be called more often, because a client waits for an acceptance.
func (m *StateMachine) NeedsFastTick() bool {
	if len(m.acceptances) > 0 {
		return true
	}
	for i := len(m.jobsInOrder) - 1; i >= max(0, len(m.jobsInOrder)-maxNewJobs); i-- {
		if m.jobsInOrder[i].replaceReplicasAt > 0 {
			return true
		}
	}
	return false
}

// replaceSlowReplicas chooses another replica set for a new batch job, if members have not confirmed it in time and
// other stores are available. The set gets a higher version, so that copies which the replaced stores may still write
// don't count.
func (m *StateMachine) replaceSlowReplicas(j *storedJob, now time.Duration) {
	if j.replaceReplicasAt == 0 || now < j.replaceReplicasAt {
		return
	}
	if j.replicated || !j.versionDurable || len(j.handoverReplicas) > 0 {
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
			return // no other stores are available
		}
	}
	if len(replicas) < m.options.ReplicationFactor || len(kept) == m.options.ReplicationFactor {
		return
	}
	j.setReplicas(j.version.next(m.view.Epoch), replicas, m.self)
	j.assumePeersEmpty()
	m.writeReplicas(j)
}

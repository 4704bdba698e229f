package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// How does an acceptance get past replicas that don't write in time?
//
// They may be down, partitioned or paused and still in the view, or have slow disks, while a client waits.

const (
	// replaceReplicasAfter is the time within which each replica must confirm a new batch job before it is
	// replaced.
	replaceReplicasAfter = 80 * time.Millisecond
	// slowPenalty is for how long a store that was replaced isn't chosen for new batch jobs.
	slowPenalty = 1500 * time.Millisecond
	// maxNewJobs is how many of the newest batch jobs may still be waiting for replicas, as NeedsFastTick
	// assumes.
	maxNewJobs = 32
	// maxDiskLag is the time a record may wait for this store's own disk before it accepts no new batch jobs.
	maxDiskLag = 150 * time.Millisecond
)

// diskLags reports whether this store's disk is behind.
func (m *StateMachine) diskLags() bool {
	return len(m.pendingWrites) > 0 && m.env.Now()-m.pendingWrites[0].queuedAt > maxDiskLag
}

// slowStores lists the stores that aren't chosen for new batch jobs.
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

// NeedsFastTick reports whether a client waits for an acceptance, so that Tick should be called more often.
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

// replaceSlowReplicas chooses another replica set for a batch job that is being accepted, if members have not
// confirmed it in time and there are others. The version rises: what the replaced ones may still write counts
// for nothing.
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
			return // there are no other stores
		}
	}
	if len(replicas) < m.options.ReplicationFactor || len(kept) == m.options.ReplicationFactor {
		return
	}
	j.setReplicas(j.version.next(m.view.Epoch), replicas, m.self)
	j.assumePeersEmpty()
	m.writeReplicas(j)
}

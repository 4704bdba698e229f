package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what is done about stores that don't write in time while a client waits for an acceptance: those that are
// down, cut off or frozen and still in the view, and those whose disks are slow.

const (
	replaceAfter = 80 * time.Millisecond // without a word that a peer has written a new batch job
	passedOver   = 1500 * time.Millisecond
	recentJobs   = 32                     // that may be new
	diskLag      = 150 * time.Millisecond // of this store's own disk, from which it takes no new batch jobs
)

// diskLags tells that this store's disk is behind.
func (m *Machine) diskLags() bool {
	return len(m.pending) > 0 && m.env.Now()-m.pending[0].at > diskLag
}

// slowStores lists the stores that are passed over.
func (m *Machine) slowStores() []placement.Key {
	var keys []placement.Key
	now := m.env.Now()
	for key, until := range m.slow {
		if now < until {
			keys = append(keys, key)
		}
	}
	return keys
}

// Pressing tells that a client waits for an acceptance, and Tick is wanted more often.
func (m *Machine) Pressing() bool {
	if len(m.acceptances) > 0 {
		return true
	}
	for i := len(m.order) - 1; i >= max(0, len(m.order)-recentJobs); i-- {
		if m.order[i].replaceAt > 0 {
			return true
		}
	}
	return false
}

// expectNothing notes that no peer holds a copy.
func (h *held) expectNothing() {
	for i := range h.peers {
		h.peers[i].known = true
	}
}

// replaceSlow chooses another replica set for a batch job that is being accepted, where members have not written it in time
// and there are others. The version rises: what they may still write counts for nothing.
func (m *Machine) replaceSlow(h *held, now time.Duration) {
	if h.replaceAt == 0 || now < h.replaceAt || h.whole || !h.copyDurable || len(h.handing) > 0 {
		return
	}
	h.replaceAt = now + replaceAfter
	kept := []protocol.Process{m.options.Self}
	for i := range h.peers {
		if p := &h.peers[i]; p.held {
			kept = append(kept, p.process)
		} else {
			m.slow[placement.KeyOf(p.process)] = now + passedOver
		}
	}
	replicas := placement.Replicas(h.id, m.view, kept, m.options.Copies, m.slowStores()...)
	for _, replica := range replicas {
		if until, slow := m.slow[placement.KeyOf(replica)]; slow && now < until {
			return // there is no other
		}
	}
	if len(replicas) < m.options.Copies || len(kept) == m.options.Copies {
		return
	}
	h.setReplicas(h.version.next(m.view.Epoch), replicas, m.self)
	h.expectNothing()
	m.writeReplicas(h)
}

// writeReplicas has a new version last before it is told to others.
func (m *Machine) writeReplicas(h *held) {
	if h.damaged {
		m.rewrite(h)
		return
	}
	h.copyDurable = false
	version := h.version
	m.write(encodeReplicas(h.id, version, h.replicas), true, func() {
		if h.version == version {
			h.copyDurable = true
			m.pump(h)
			m.judge(h)
		}
	})
}

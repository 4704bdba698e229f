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
func (m *Machine) handOver(h *held) {
	h.peers = nil
	h.whole = false
	var kept []protocol.Process
	for _, replica := range h.replicas {
		member, present := placement.MemberOf(m.view, placement.KeyOf(replica))
		if present && member.State == protocol.StoreActive {
			kept = append(kept, replica)
		}
	}
	h.handing = placement.Replicas(h.id, m.view, kept, m.options.Copies)
	if len(h.handing) < m.options.Copies {
		h.handing = nil
		m.renew(h) // too few are left: it stays until the view changes
		return
	}
	m.env.Stop(h.id)
	h.peers = []peer{{process: h.handing[0]}}
}

// handoverVersion is the version of the set that a batch job goes to.
func (m *Machine) handoverVersion(h *held) Version { return h.version.next(m.view.Epoch) }

func (m *Machine) pumpHandover(h *held) {
	p := &h.peers[0]
	now := m.env.Now()
	if h.handed || p.busy && now-p.sentAt < replicateAgain || h.durable < len(h.results) || h.ended != h.endDurable {
		return
	}
	message := Replicate{Stamp: m.stamp(), Job: h.id, Version: m.handoverVersion(h)}
	if p.known && !p.held {
		if p.fillAt > 0 && now-p.fillAt < replicateAgain {
			return // it may have yet to be written there
		}
		p.fillAt = now
		if !m.fillCopy(h, &message, h.durable) {
			return
		}
		message.Replicas = h.handing
	}
	p.busy, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// handedOver takes the successor's account.
func (m *Machine) handedOver(h *held, from placement.Key, message Replicated) {
	p := &h.peers[0]
	if placement.KeyOf(p.process) != from || h.handed {
		return
	}
	p.known, p.busy = true, false
	p.held = message.Held && message.Version == m.handoverVersion(h)
	if p.held && message.Whole {
		h.handed, h.owner = true, false
		h.peers, h.handing = nil, nil
		m.directory[h.id] = from
		m.redirect(h)
		m.announce(h.id, from)
		m.checkSettled()
		return
	}
	if p.held {
		p.busy = true // asked again later
		return
	}
	m.pumpHandover(h)
}

// inherit owns a copy that a retiring store handed over.
func (m *Machine) inherit(h *held) {
	if m.jobs[h.id] != h || len(h.replicas) == 0 || placement.KeyOf(h.replicas[0]) != m.self || !m.stands(h) {
		return
	}
	if uint64(h.version)>>versionBits != m.view.Epoch || h.owner {
		return
	}
	h.owner = true
	m.noteInherited(h)
	m.unsettle() // its set has to be made whole first
	delete(m.directory, h.id)
	h.setReplicas(h.version, h.replicas, m.self)
	m.announce(h.id, m.self)
	m.pump(h)
	m.judge(h)
}

// locate gives where content and results of a copy stand within its record.
func locate(h *held, record []byte, at wal.Location) (wal.Location, []heldResult) {
	r := &job.Reader{Rest: record[1:]}
	_ = r.Text()
	readReplicas(r)
	_ = r.Take(1)
	content := r.Bytes()
	end := len(record) - len(r.Rest)
	contentAt := at.Part(uint32(end-len(content)), uint32(len(content)))
	count := r.Uvarint()
	results := make([]heldResult, 0, count)
	for range count {
		results = append(results, readResult(r, record, at))
	}
	return contentAt, results
}

func heldResultOf(result *Result, at wal.Location) heldResult {
	return heldResult{item: int32(result.Item), state: job.State(result.State), at: at}
}

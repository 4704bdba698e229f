package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what becomes of copies that are not whole: who owns the batch job instead, and how they are replaced.

// concession is a batch job that this store would own, given to another one.
type concession struct {
	to      placement.Key
	version Version
	sentAt  time.Duration
}

// takeOrConcede owns a batch job that falls to this store, or gives it to a store that holds a better copy of the newest
// version. Only the store that would own it does so; so there is one decision in an epoch.
func (m *Machine) takeOrConcede(id string, found *copies) {
	h := m.jobs[id]
	held := h != nil && h.version == found.version
	if held && !h.damaged {
		m.take(h)
		return
	}
	mine := -1
	if held {
		mine = len(h.results)
	}
	if better := found.better(m.self, mine); better != "" {
		m.concede(id, concession{to: better, version: found.version})
		return
	}
	if held {
		m.take(h)
	}
}

// better gives the store that holds a whole copy, the first of the set where it is one of several, or else the longest
// sound prefix, if it is of more than a count of results.
func (c *copies) better(self placement.Key, count int) placement.Key {
	candidates := slices.Sorted(slices.Values(c.holders))
	for _, replica := range slices.Backward(c.replicas) {
		if key := placement.KeyOf(replica); slices.Contains(candidates, key) {
			candidates = slices.Insert(slices.DeleteFunc(candidates, func(k placement.Key) bool { return k == key }), 0, key)
		}
	}
	var longest placement.Key
	for _, key := range candidates {
		prefix, damaged := c.damaged[key]
		switch {
		case key == self:
		case !damaged:
			return key
		case prefix > count:
			longest, count = key, prefix
		}
	}
	return longest
}

func (m *Machine) concede(id string, c concession) {
	member, present := placement.MemberOf(m.view, c.to)
	if !present {
		return
	}
	c.sentAt = m.env.Now()
	m.concession[id] = c
	m.directory[id] = c.to
	if h := m.jobs[id]; h != nil {
		m.pass(h)
	}
	m.env.Send(member.Process, Concede{Stamp: m.stamp(), Job: id, Version: c.version})
}

// concedeAgain sends what may have been lost, and asks whether the batch job stands whole where it was given to.
func (m *Machine) concedeAgain(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.concession)) {
		c := m.concession[id]
		if now-c.sentAt >= inventoryAgain {
			m.concede(id, c)
		}
	}
}

// conceded owns a batch job that the store which would own it holds no good copy of.
func (m *Machine) conceded(from protocol.Process, message Concede) {
	if !m.settled {
		return
	}
	h := m.jobs[message.Job]
	if h == nil || !h.owner && h.version != message.Version { // what the inventory listed was dropped or replaced since
		m.env.Send(from, Replicated{Stamp: m.stamp(), Job: message.Job, Version: message.Version})
		return
	}
	if h.owner {
		m.env.Send(from, Notice{Stamp: m.stamp(), Job: h.id, Owner: m.self})
		m.acknowledge(h, from)
		return
	}
	if h.handed { // to the next owner
		m.tellOwner(from, h.id)
		return
	}
	m.unsettle() // its set has to be made whole first
	m.take(h)
	m.unpark()
}

// concededInVain looks again at who holds what, where the store that a batch job was given to has it no more: it has none of the version
// that it was given. One that has taken it may have yet to write a newer one.
func (m *Machine) concededInVain(from placement.Key, message Replicated) {
	c, conceded := m.concession[message.Job]
	if conceded && c.to == from && !message.Held && message.Version == c.version {
		delete(m.concession, message.Job)
		delete(m.directory, message.Job)
		m.restart()
	}
}

// forgetPeer forgets what is known of copies at a store that has started again: it may have found them damaged.
func (m *Machine) forgetPeer(key placement.Key) {
	for _, h := range m.order {
		if p := h.peer(key); h.owner && p != nil {
			*p = peer{process: p.process}
			m.unsettle()
		}
	}
}

// unsettle takes back that all that this store owns stands whole.
func (m *Machine) unsettle() {
	if m.settledEpoch > 0 && m.settledEpoch == m.view.Epoch {
		m.settledEpoch--
	}
}

// rewrite replaces a damaged copy by its sound part, as a whole copy of a new version.
func (m *Machine) rewrite(h *held) {
	message := Replicate{}
	if !m.fillCopy(h, &message, len(h.results)) {
		return // neither content nor results can be read: calls wait and are refused, for as long as this store owns it
	}
	h.damaged = false
	h.copyDurable = false
	version := h.version
	record := encodeCopy(h.id, version, h.replicas, h.ended, message.Content, message.Results)
	h.replaces = h.oldest()
	at := m.write(record, true, func() {
		h.replaces = nil
		if h.version == version {
			h.copyDurable = true
			m.pump(h)
			m.judge(h)
		}
	})
	h.contentAt, h.results = locate(h, record, at)
	h.progress = nil // what is left of it stands in segments that may go now
}

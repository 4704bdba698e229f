package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns how an owner brings the other members of a replica set up to its state, and what they do with it.

const (
	replicateAgain = 700 * time.Millisecond
	maxChunk       = 512 << 10 // of results in one message, bytes
)

// pump sends each peer of an owned batch job what it lacks.
func (m *Machine) pump(h *held) {
	if !h.owner || !m.present || !h.copyDurable {
		return
	}
	if len(h.handing) > 0 {
		m.pumpHandover(h)
		return
	}
	for i := range h.peers {
		m.pumpPeer(h, &h.peers[i])
	}
}

func (m *Machine) pumpPeer(h *held, p *peer) {
	now := m.env.Now()
	if p.busy && now-p.sentAt < replicateAgain {
		return
	}
	message := Replicate{Stamp: m.stamp(), Job: h.id, Version: h.version}
	switch {
	case !p.known: // ask
	case !p.held:
		if !m.fillCopy(h, &message, h.durable) {
			return
		}
	case p.count < h.durable || h.endDurable && !p.ended:
		if !m.fillResults(h, &message, p.count) {
			return
		}
		message.Ended = h.endDurable
	default:
		return
	}
	p.busy, p.sentAt = true, now
	m.env.Send(p.process, message)
}

// fillCopy puts a whole copy into a message. It tells whether it could be read.
func (m *Machine) fillCopy(h *held, message *Replicate, count int) bool {
	content := h.content
	if content == nil {
		read, err := m.env.Read(h.contentAt)
		if err != nil {
			return false
		}
		content = read
	}
	message.Content, message.Replicas, message.Ended = content, h.replicas, h.endDurable
	for position := range count {
		result, ok := m.result(h, position)
		if !ok {
			return false
		}
		message.Results = append(message.Results, result)
	}
	return true
}

func (m *Machine) fillResults(h *held, message *Replicate, start int) bool {
	message.Start = start
	size := 0
	for position := start; position < h.durable && size < maxChunk; position++ {
		result, ok := m.result(h, position)
		if !ok {
			return false
		}
		size += len(result.Text)
		message.Results = append(message.Results, result)
	}
	return true
}

// result gives a listed item with its text.
func (m *Machine) result(h *held, position int) (Result, bool) {
	if fresh := h.fresh[position]; fresh != nil {
		return *fresh, true
	}
	listed := &h.results[position]
	text, err := m.env.Read(listed.at)
	if err != nil {
		return Result{}, false
	}
	return Result{Item: int(listed.item), State: byte(listed.state), Text: text}, true
}

// replicate takes what the owner sends.
func (m *Machine) replicate(from protocol.Process, message Replicate) {
	h := m.jobs[message.Job]
	switch {
	case h != nil && h.owner: // a retiring store asks whether the set is whole without it
		m.acknowledge(h, from)
	case h != nil && h.version == message.Version && !h.damaged:
		m.extend(h, from, message)
	case h != nil && h.version > message.Version:
		m.tellOwner(from, message.Job) // who may be asked instead
	case message.Content == nil: // no copy of that version is here, or no whole one
		m.tellOwner(from, message.Job)
		none := h == nil && m.settled && m.directory[message.Job] == ""
		m.env.Send(from, Replicated{Stamp: m.stamp(), Job: message.Job, Version: message.Version, None: none})
	default:
		m.adopt(from, message)
	}
}

// adopt writes a whole copy, in place of what was held.
func (m *Machine) adopt(from protocol.Process, message Replicate) {
	record := encodeCopy(message.Job, message.Version, message.Replicas, message.Ended, message.Content, message.Results)
	h, err := newHeld(message.Content, wal.Location{})
	if err != nil || h.id != message.Job {
		return
	}
	if old := m.jobs[message.Job]; old != nil {
		m.pass(old)
		h.replaces = old.oldest()
	}
	at := m.write(record, true, func() {
		h.copyDurable, h.replaces = true, nil
		h.durable = max(h.durable, len(message.Results))
		h.endDurable = message.Ended
		m.acknowledge(h, from)
		m.inherit(h)
	})
	h.version, h.replicas, h.ended = message.Version, message.Replicas, message.Ended
	h.contentAt, h.results = locate(h, record, at)
	for i := range h.results {
		h.markListed(int(h.results[i].item))
	}
	m.keep(h)
	m.directory[message.Job] = placement.KeyOf(from)
}

// extend appends results to a copy of the same version.
func (m *Machine) extend(h *held, from protocol.Process, message Replicate) {
	for i := range message.Results {
		position := message.Start + i
		if position != len(h.results) {
			continue
		}
		result := message.Results[i]
		record := encodeResult(h.id, position, &result)
		at := m.write(record, message.Ended, func() { h.durable = max(h.durable, position+1) })
		h.list(heldResultOf(&result, at.Part(uint32(len(record)-len(result.Text)), uint32(len(result.Text)))))
	}
	if message.Ended && !h.ended {
		h.ended = true
		m.write(encodeEnded(h.id), true, func() { h.endDurable = true })
	}
	m.afterWrites(func() { m.acknowledge(h, from) })
}

// afterWrites calls a function once all that was written so far is durable.
func (m *Machine) afterWrites(then func()) {
	if len(m.pending) == 0 {
		then()
		return
	}
	last := m.pending[len(m.pending)-1]
	m.pending = append(m.pending, pendingWrite{sequence: last.sequence, at: last.at, then: then})
}

func (m *Machine) acknowledge(h *held, to protocol.Process) {
	if m.jobs[h.id] != h {
		return
	}
	stands := h.owner && h.stood()
	m.env.Send(to, Replicated{
		Stamp: m.stamp(), Job: h.id, Held: h.copyDurable, Version: h.version, Count: h.durable, Ended: h.endDurable,
		Stands: stands, Whole: stands && !placement.Contains(h.replicas, placement.KeyOf(to)),
	})
}

// tellOwner names the owner of a batch job to a store that took this one for it.
func (m *Machine) tellOwner(to protocol.Process, id string) {
	if owner := m.directory[id]; owner != "" && owner != placement.KeyOf(to) && owner != m.self {
		m.env.Send(to, Notice{Stamp: m.stamp(), Job: id, Owner: owner})
	}
}

// standsElsewhere takes the word of a batch job's owner that all of its set hold it: nothing of it hangs on this store any more. It
// must be the owner's own word in this epoch. What all stores tell of themselves isn't of one moment, and an owner that has just
// come to it may have told before that all that it owned stood whole.
func (m *Machine) standsElsewhere(from placement.Key, id string) {
	if c, conceded := m.concession[id]; conceded && c.to == from {
		delete(m.concession, id)
	}
	if h := m.jobs[id]; h != nil && !h.owner && h.behind {
		h.relieved = true
	}
	m.checkSettled()
	m.checkWhole()
}

// wasDropped tells that the owner of a batch job whose copy was left behind here has none any more, as its time is over. The copy here may
// not know that the batch job is closed.
func (m *Machine) wasDropped(h *held, from placement.Key, message Replicated) bool {
	return h.behind && !h.owner && from == m.directory[h.id] && message.None && m.isOver(h)
}

// replicated takes a peer's account.
func (m *Machine) replicated(from placement.Key, message Replicated) {
	m.concededInVain(from, message)
	if message.Stands {
		m.standsElsewhere(from, message.Job)
	}
	h := m.jobs[message.Job]
	if h == nil {
		return
	}
	if m.wasDropped(h, from, message) {
		m.discard(h)
		m.checkSettled()
		return
	}
	if !h.owner {
		h.handed = h.handed || m.retiring && message.Whole
		return
	}
	if len(h.handing) > 0 {
		m.handedOver(h, from, message)
		return
	}
	p := h.peer(from)
	if p == nil || message.Version != h.version {
		return
	}
	p.known, p.busy = true, false
	p.held = p.held || message.Held // what is on its disk stays there: an answer that says less is an earlier one
	p.count = max(p.count, message.Count)
	p.ended = p.ended || message.Ended
	m.judge(h)
	m.pumpPeer(h, p)
}

// judge draws what follows from what the replicas hold.
func (m *Machine) judge(h *held) {
	if !h.owner || len(h.handing) > 0 || len(h.replicas) < m.options.Copies {
		return
	}
	whole, shown, ended := h.standing()
	if !whole && !h.whole {
		return
	}
	for ; h.shown < shown; h.shown++ {
		delete(h.fresh, h.shown)
	}
	if !h.whole {
		h.whole = true
		h.content = nil
		h.replaceAt = 0
		m.becameWhole(h)
	}
	m.answerReaders(h)
	if ended {
		m.answerEnders(h)
	}
	m.checkSettled()
}

func (m *Machine) becameWhole(h *held) {
	m.answerSubmitters(h)
	if !h.ended && !h.complete() {
		m.env.Start(h.id)
	}
	m.checkSettled()
	m.unpark()
}

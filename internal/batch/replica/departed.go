package replica

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns whether the members of the view together know of every batch job. They do as long as no more machines are missing
// than copies but one, counted since all members stood whole: then one copy of each is among them. When more are missing, as after a
// loss of power everywhere, what isn't known here may still come back, and nobody may be told that it doesn't exist, nor may anybody
// accept it again. Who departed is part of the agreed view, and so is that all members stand whole without them: no store draws it
// from the views that it happened to see. Machines are counted, not disks: the members of one replica set were in one view, and a
// view has one disk of each machine.

const noticeAgain = time.Second

// departed is who left the view since all members stood whole, and what this store knows of the others' logs.
type departed struct {
	since   map[placement.Key]departure
	settled map[placement.Key]uint64 // epoch in which each other member told that it stands whole
	toldAt  time.Duration

	// Stores whose logs may have held batch jobs that they can't name any more, and since when that is known. They count
	// like stores that left.
	obscured   map[placement.Key]time.Duration
	doubtUntil time.Duration // too many of both were missing for ever: until then batch jobs that were lost may be asked for
	at         *wal.Location // of the newest durable record of the view

	epoch       uint64 // of the newest view that this store acted in, also in earlier lives
	memberSince uint64 // this store has been a member of all views from this epoch on, 0: it isn't one
}

// departure is one store that left.
type departure struct {
	node string
	at   time.Duration // when this process learnt of it
	over bool          // it has been missing for longer than batch jobs are kept
}

// follow notes since when this store has been a member without a gap. A view that it may have missed is a gap.
func (d *departed) follow(epoch uint64, present bool) {
	switch {
	case !present:
		d.memberSince = 0
	case d.memberSince == 0 || epoch > d.epoch+1:
		d.memberSince = epoch
	}
	d.epoch = epoch
}

// take takes in who departed before a view, and whose logs are still to be counted.
func (d *departed) take(view protocol.StoreView, now time.Duration) {
	before := d.since
	d.since = make(map[placement.Key]departure, len(view.Departed))
	for _, process := range view.Departed {
		key := placement.KeyOf(process)
		one, known := before[key]
		if !known {
			one = departure{node: process.Node, at: now}
		}
		d.since[key] = one
	}
	maps.DeleteFunc(d.obscured, func(key placement.Key, _ time.Duration) bool {
		_, present := placement.MemberOf(view, key)
		return !present // it counts as one that left
	})
}

// missed gives the stores that left and are missed, by key.
func (d *departed) missed() []placement.Key {
	var list []placement.Key
	for key, one := range d.since {
		if !one.over {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// left counts the machines of stores that left and are missed.
func (d *departed) left() int { return len(d.machines()) }

func (d *departed) machines() map[string]bool {
	nodes := make(map[string]bool, len(d.since))
	for _, one := range d.since {
		if !one.over {
			nodes[one.node] = true
		}
	}
	return nodes
}

// missing counts the machines that may have held what the others don't know of: those that left, and those whose logs can't tell.
func (d *departed) missing() int {
	nodes := d.machines()
	for key := range d.obscured {
		nodes[key.Node()] = true
	}
	return len(nodes)
}

// encode gives the record of the view. Earlier versions kept who was missing in what is empty here.
func (d *departed) encode() []byte {
	out := binary.AppendUvarint([]byte{recordView}, 0)
	out = append(out, 0)
	out = binary.AppendUvarint(out, 0)
	out = binary.AppendUvarint(out, d.epoch)
	return binary.AppendUvarint(out, d.memberSince)
}

func skipKeys(r *job.Reader) {
	count := r.Uvarint()
	for i := uint64(0); i < count && !r.Failed; i++ {
		r.Text()
	}
}

func (d *departed) replay(at wal.Location, record []byte) *Finding {
	r := &job.Reader{Rest: record[1:]}
	skipKeys(r)
	if !r.Failed && len(r.Rest) > 0 { // the earliest versions wrote no more
		r.Take(1)
		skipKeys(r)
	}
	var epoch, memberSince uint64
	if !r.Failed && len(r.Rest) > 0 {
		epoch, memberSince = r.Uvarint(), r.Uvarint()
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: recordView}
	}
	d.at = &at
	d.epoch, d.memberSince = epoch, memberSince
	return nil
}

// sure tells whether the members of the view together know of every batch job, and this store knows what they know.
func (m *Machine) sure() bool {
	return m.settled && !m.tooManyMissing() && m.env.Now() >= m.departed.doubtUntil
}

// noteObscured takes what a store tells of its log.
func (d *departed) noteObscured(key placement.Key, obscured bool, now time.Duration) {
	_, noted := d.obscured[key]
	switch {
	case !obscured:
		delete(d.obscured, key)
	case !noted:
		d.obscured[key] = now
		clear(d.settled) // what they told before is asked for again
	}
}

// tooManyMissing tells that a batch job's newest copies may all be on stores that left the view, or were damaged.
func (m *Machine) tooManyMissing() bool { return m.departed.missing() >= m.options.Copies }

// tooManyLeft tells that all copies of a batch job may be on stores that left the view, and may come back with them.
func (m *Machine) tooManyLeft() bool { return m.departed.left() >= m.options.Copies }

// isNewest tells whether the highest version that the members hold is the highest there is. An owner's disk holds a new
// version first, and the owner is one of the set before it; so that set's presence without a higher version proves it.
func (m *Machine) isNewest(found *copies) bool {
	return !m.tooManyLeft() || m.allActive(found.replicas)
}

// awaitsWhole tells that something here ends once all members have told that they stand whole.
func (m *Machine) awaitsWhole() bool {
	return len(m.departed.obscured) > 0 || m.retiring || slices.ContainsFunc(m.order, func(h *held) bool { return h.behind })
}

// checkWhole forgets whose logs can't tell what they held, and drops copies that were left behind, once all members stand whole.
func (m *Machine) checkWhole() {
	if m.tooManyLeft() || m.settledEpoch != m.view.Epoch || !m.awaitsWhole() {
		return
	}
	if !m.allStandWhole() {
		return
	}
	m.dropBehind()
	if len(m.departed.obscured) > 0 {
		m.forgetObscured()
	}
}

// allStandWhole tells that all members have told so, in the present epoch.
func (m *Machine) allStandWhole() bool {
	whole := m.settledEpoch == m.view.Epoch
	m.others(func(other protocol.Process) {
		whole = whole && m.departed.settled[placement.KeyOf(other)] == m.view.Epoch
	})
	return whole
}

// dropBehind drops copies of versions that are not the newest: kept for longer than those, one could be taken for the newest
// later, though the batch job was ended.
func (m *Machine) dropBehind() {
	for _, h := range slices.Clone(m.order) {
		if h.behind && !h.owner && h.relieved {
			m.discard(h)
		}
	}
}

func (m *Machine) forgetObscured() {
	if m.tooManyMissing() {
		m.departed.doubtUntil = m.env.Now() + m.options.KeepFor
	}
	clear(m.departed.obscured)
	m.obscured = false
}

// writeView keeps the epoch that this store acts in.
func (m *Machine) writeView() {
	var at wal.Location
	at = m.write(m.departed.encode(), true, func() { m.departed.at = &at })
}

// expireDeparted gives those up that have been missing for longer than batch jobs are kept.
func (m *Machine) expireDeparted(now time.Duration) {
	for key, one := range m.departed.since {
		if !one.over && now-one.at > m.options.KeepFor {
			one.over = true
			m.departed.since[key] = one
			m.settled = false // what was left to them is looked at again
		}
	}
	maps.DeleteFunc(m.departed.obscured, func(_ placement.Key, at time.Duration) bool { return now-at > m.options.KeepFor })
	_, noted := m.departed.obscured[m.self]
	m.obscured = m.obscured && noted
}

// tellSettled tells the others how far this store is, and asks them if that is awaited here.
func (m *Machine) tellSettled() {
	m.departed.toldAt = m.env.Now()
	notice := SettledNotice{Stamp: m.stamp(), Settled: m.settledEpoch, Ask: m.awaitsWhole()}
	m.others(func(other protocol.Process) { m.env.Send(other, notice) })
}

func (m *Machine) settledNotice(from protocol.Process, notice SettledNotice) {
	m.departed.settled[placement.KeyOf(from)] = notice.Settled
	if notice.Ask {
		m.env.Send(from, SettledNotice{Stamp: m.stamp(), Settled: m.settledEpoch})
	}
	m.checkWhole()
}

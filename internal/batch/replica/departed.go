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

const noticeInterval = time.Second

// departed is who left the view since all members stood whole, and what this store knows of the others' logs.
type departureSet struct {
	stores           map[placement.Key]departure
	reconciledEpochs map[placement.Key]uint64 // epoch in which each other member told that it stands whole
	noticeSentAt     time.Duration

	// Stores whose logs may have held batch jobs that they can't name any more, and since when that is known. They count
	// like stores that left.
	incompleteLogs map[placement.Key]time.Duration
	uncertainUntil time.Duration // too many of both were missing for ever: until then batch jobs that were lost may be asked for
	viewRecordAt   *wal.Location // of the newest durable record of the view

	actedEpoch  uint64 // of the newest view that this store acted in, also in earlier lives
	memberSince uint64 // this store has been a member of all views from this epoch on, 0: it isn't one
}

// departure is one store that left.
type departure struct {
	node    string
	at      time.Duration // when this process learnt of it
	expired bool          // it has been missing for longer than batch jobs are kept
}

// follow notes since when this store has been a member without a gap. A view that it may have missed is a gap.
func (d *departureSet) enterEpoch(epoch uint64, present bool) {
	switch {
	case !present:
		d.memberSince = 0
	case d.memberSince == 0 || epoch > d.actedEpoch+1:
		d.memberSince = epoch
	}
	d.actedEpoch = epoch
}

// take takes in who departed before a view, and whose logs are still to be counted.
func (d *departureSet) update(view protocol.StoreView, now time.Duration) {
	before := d.stores
	d.stores = make(map[placement.Key]departure, len(view.Departed))
	for _, process := range view.Departed {
		key := placement.KeyOf(process)
		one, known := before[key]
		if !known {
			one = departure{node: process.Node, at: now}
		}
		d.stores[key] = one
	}
	maps.DeleteFunc(d.incompleteLogs, func(key placement.Key, _ time.Duration) bool {
		_, present := placement.MemberOf(view, key)
		return !present // it counts as one that left
	})
}

// missed gives the stores that left and are missed, by key.
func (d *departureSet) missingStores() []placement.Key {
	var list []placement.Key
	for key, one := range d.stores {
		if !one.expired {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// left counts the machines of stores that left and are missed.
func (d *departureSet) countDeparted() int { return len(d.departedNodes()) }

func (d *departureSet) departedNodes() map[string]bool {
	nodes := make(map[string]bool, len(d.stores))
	for _, one := range d.stores {
		if !one.expired {
			nodes[one.node] = true
		}
	}
	return nodes
}

// missing counts the machines that may have held what the others don't know of: those that left, and those whose logs can't tell.
func (d *departureSet) countMissing() int {
	nodes := d.departedNodes()
	for key := range d.incompleteLogs {
		nodes[key.Node()] = true
	}
	return len(nodes)
}

// encode gives the record of the view. Earlier versions kept who was missing in what is empty here.
func (d *departureSet) encode() []byte {
	out := binary.AppendUvarint([]byte{recordView}, 0)
	out = append(out, 0)
	out = binary.AppendUvarint(out, 0)
	out = binary.AppendUvarint(out, d.actedEpoch)
	return binary.AppendUvarint(out, d.memberSince)
}

func skipKeys(r *job.Decoder) {
	count := r.Uvarint()
	for i := uint64(0); i < count && !r.Failed; i++ {
		r.Text()
	}
}

func (d *departureSet) replay(at wal.Location, record []byte) *Finding {
	r := &job.Decoder{Remaining: record[1:]}
	skipKeys(r)
	if !r.Failed && len(r.Remaining) > 0 { // the earliest versions wrote no more
		r.Take(1)
		skipKeys(r)
	}
	var epoch, memberSince uint64
	if !r.Failed && len(r.Remaining) > 0 {
		epoch, memberSince = r.Uvarint(), r.Uvarint()
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: recordView}
	}
	d.viewRecordAt = &at
	d.actedEpoch, d.memberSince = epoch, memberSince
	return nil
}

// sure tells whether the members of the view together know of every batch job, and this store knows what they know.
func (m *StateMachine) knowsEveryJob() bool {
	return m.reconciled && !m.tooManyMissing() && m.env.Now() >= m.departures.uncertainUntil
}

// noteObscured takes what a store tells of its log.
func (d *departureSet) noteLog(key placement.Key, obscured bool, now time.Duration) {
	_, noted := d.incompleteLogs[key]
	switch {
	case !obscured:
		delete(d.incompleteLogs, key)
	case !noted:
		d.incompleteLogs[key] = now
		clear(d.reconciledEpochs) // what they told before is asked for again
	}
}

// tooManyMissing tells that a batch job's newest copies may all be on stores that left the view, or were damaged.
func (m *StateMachine) tooManyMissing() bool {
	return m.departures.countMissing() >= m.options.ReplicationFactor
}

// tooManyLeft tells that all copies of a batch job may be on stores that left the view, and may come back with them.
func (m *StateMachine) tooManyDeparted() bool {
	return m.departures.countDeparted() >= m.options.ReplicationFactor
}

// isNewest tells whether the highest version that the members hold is the highest there is. An owner's disk holds a new
// version first, and the owner is one of the set before it; so that set's presence without a higher version proves it.
func (m *StateMachine) isNewestVersion(found *newestCopies) bool {
	return !m.tooManyDeparted() || m.allActive(found.replicas)
}

// awaitsWhole tells that something here ends once all members have told that they stand whole.
func (m *StateMachine) awaitsAllReconciled() bool {
	return len(m.departures.incompleteLogs) > 0 || m.retiring || slices.ContainsFunc(m.order, func(j *storedJob) bool { return j.superseded })
}

// checkWhole forgets whose logs can't tell what they held, and drops copies that were left behind, once all members stand whole.
func (m *StateMachine) checkAllReconciled() {
	if m.tooManyDeparted() || m.reconciledEpoch != m.view.Epoch || !m.awaitsAllReconciled() {
		return
	}
	if !m.allReconciled() {
		return
	}
	m.dropSuperseded()
	if len(m.departures.incompleteLogs) > 0 {
		m.forgetIncompleteLogs()
	}
}

// allStandWhole tells that all members have told so, in the present epoch.
func (m *StateMachine) allReconciled() bool {
	whole := m.reconciledEpoch == m.view.Epoch
	m.eachOtherMember(func(other protocol.Process) {
		whole = whole && m.departures.reconciledEpochs[placement.KeyOf(other)] == m.view.Epoch
	})
	return whole
}

// dropBehind drops copies of versions that are not the newest: kept for longer than those, one could be taken for the newest
// later, though the batch job was ended.
func (m *StateMachine) dropSuperseded() {
	for _, j := range slices.Clone(m.order) {
		if j.superseded && !j.owned && j.releasable {
			m.discard(j)
		}
	}
}

func (m *StateMachine) forgetIncompleteLogs() {
	if m.tooManyMissing() {
		m.departures.uncertainUntil = m.env.Now() + m.options.Retention
	}
	clear(m.departures.incompleteLogs)
	m.incompleteLog = false
}

// writeView keeps the epoch that this store acts in.
func (m *StateMachine) writeViewRecord() {
	var at wal.Location
	at = m.write(m.departures.encode(), true, func() { m.departures.viewRecordAt = &at })
}

// expireDeparted gives those up that have been missing for longer than batch jobs are kept.
func (m *StateMachine) expireDeparted(now time.Duration) {
	for key, one := range m.departures.stores {
		if !one.expired && now-one.at > m.options.Retention {
			one.expired = true
			m.departures.stores[key] = one
			m.reconciled = false // what was left to them is looked at again
		}
	}
	maps.DeleteFunc(m.departures.incompleteLogs, func(_ placement.Key, at time.Duration) bool { return now-at > m.options.Retention })
	_, noted := m.departures.incompleteLogs[m.self]
	m.incompleteLog = m.incompleteLog && noted
}

// tellSettled tells the others how far this store is, and asks them if that is awaited here.
func (m *StateMachine) sendReconciledNotice() {
	m.departures.noticeSentAt = m.env.Now()
	notice := ReconciledNotice{Stamp: m.stamp(), Settled: m.reconciledEpoch, Ask: m.awaitsAllReconciled()}
	m.eachOtherMember(func(other protocol.Process) { m.env.Send(other, notice) })
}

func (m *StateMachine) handleReconciledNotice(from protocol.Process, notice ReconciledNotice) {
	m.departures.reconciledEpochs[placement.KeyOf(from)] = notice.Settled
	if notice.Ask {
		m.env.Send(from, ReconciledNotice{Stamp: m.stamp(), Settled: m.reconciledEpoch})
	}
	m.checkAllReconciled()
}

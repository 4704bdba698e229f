package replica

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/journal"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns whether the members of the view together know of every batch job. They do as long as no more of those that
// left it are missing than copies but one, counted since all members stood whole: then one copy of each is among them. When
// more are missing, as after a loss of power everywhere, what isn't known here may still come back, and nobody may be told
// that it doesn't exist, nor may anybody accept it again. What the last view was is kept on the disk, as a start in between
// must not forget who is missing. A store with an empty disk learns it from another; so does one that was away while the
// others stood whole without those that left.

const noticeAgain = time.Second

// departed is who left the view since all members stood whole, and when.
type departed struct {
	since   map[placement.Key]time.Duration
	settled map[placement.Key]uint64        // epoch in which each other member told that it stands whole
	last    []placement.Key                 // members of the last view, and those that were missing then
	emptied map[placement.Key]time.Duration // stores that retire and hold nothing that others need, since when that is known
	lasting map[placement.Key]time.Duration // of emptied, those that this disk keeps
	toldAt  time.Duration

	whole   uint64 // newest epoch of this life in which all members stood whole, 0: not known, or a view was missed since
	told    bool   // the disk told of a view
	blank   bool   // it didn't, and no other store has yet told who is missing
	blankAt time.Duration

	// Stores whose logs may have held batch jobs that they can't name any more, and since when that is known. They count
	// like stores that left.
	obscured   map[placement.Key]time.Duration
	doubtUntil time.Duration     // too many of both were missing for ever: until then batch jobs that were lost may be asked for
	at         *journal.Location // of the newest durable record of last

	epoch       uint64 // of the newest view that was seen, also in earlier lives
	memberSince uint64 // this store has been a member of all views from this epoch on, 0: it isn't one
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

// change takes a new view.
func (d *departed) change(view protocol.StoreView, now time.Duration) {
	for _, key := range d.last {
		if _, missing := d.since[key]; !missing && !d.isEmptied(key) {
			d.since[key] = now
		}
	}
	for _, member := range view.Members {
		key := placement.KeyOf(member.Process)
		delete(d.since, key)
		if member.State != protocol.StoreRetired { // it may be needed again where others were lost
			delete(d.emptied, key)
			delete(d.lasting, key)
		}
	}
	maps.DeleteFunc(d.obscured, func(key placement.Key, _ time.Duration) bool {
		_, present := placement.MemberOf(view, key)
		return !present // it counts as one that left
	})
	d.list(view)
}

func (d *departed) isEmptied(key placement.Key) bool {
	_, emptied := d.emptied[key]
	return emptied
}

// list makes last of the members of a view and those that are missing.
func (d *departed) list(view protocol.StoreView) {
	d.last = d.last[:0]
	for _, member := range view.Members {
		if key := placement.KeyOf(member.Process); member.State != protocol.StoreRetired && !d.isEmptied(key) {
			d.last = append(d.last, key)
		}
	}
	d.last = slices.AppendSeq(d.last, maps.Keys(d.since))
	slices.Sort(d.last)
}

func (d *departed) encode() []byte {
	out := binary.AppendUvarint([]byte{recordView}, uint64(len(d.last)))
	for _, key := range d.last {
		out = job.AppendText(out, string(key))
	}
	out = append(out, boolByte(d.blank))
	out = binary.AppendUvarint(out, uint64(len(d.emptied)))
	for _, key := range slices.Sorted(maps.Keys(d.emptied)) {
		out = job.AppendText(out, string(key))
	}
	out = binary.AppendUvarint(out, d.epoch)
	return binary.AppendUvarint(out, d.memberSince)
}

func readKeys(r *job.Reader) []placement.Key {
	var keys []placement.Key
	count := r.Uvarint()
	for i := uint64(0); i < count && !r.Failed; i++ {
		keys = append(keys, placement.Key(r.Text()))
	}
	return keys
}

func (d *departed) replay(at journal.Location, record []byte) *Finding {
	r := &job.Reader{Rest: record[1:]}
	last := readKeys(r)
	blank := false
	var emptied []placement.Key
	if !r.Failed && len(r.Rest) > 0 { // earlier versions wrote no more
		blank = r.Take(1)[0] == 1
		emptied = readKeys(r)
	}
	var epoch, memberSince uint64
	if !r.Failed && len(r.Rest) > 0 {
		epoch, memberSince = r.Uvarint(), r.Uvarint()
	}
	if r.Failed {
		return &Finding{Problem: ProblemRecord, Kind: recordView}
	}
	for _, key := range emptied {
		d.emptied[key] = 0
	}
	d.lasting = maps.Clone(d.emptied)
	d.last, d.at = last, &at
	d.told, d.blank = true, blank
	d.epoch, d.memberSince = epoch, memberSince
	return nil
}

// sure tells whether the members of the view together know of every batch job, and this store knows what they know.
func (m *Machine) sure() bool {
	return m.settled && !m.departed.blank && !m.tooManyMissing() && m.env.Now() >= m.departed.doubtUntil
}

// missing counts the stores that may have held what the others don't know of.
func (d *departed) missing() int { return len(d.since) + len(d.obscured) }

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
func (m *Machine) tooManyLeft() bool {
	return m.departed.blank || len(m.departed.since) >= m.options.Copies
}

// isNewest tells whether the highest version that the members hold is the highest there is. An owner's disk holds a new
// version first, and the owner is one of the set before it; so that set's presence without a higher version proves it.
func (m *Machine) isNewest(found *copies) bool {
	return !m.tooManyLeft() || m.allActive(found.replicas)
}

// awaitsWhole tells that something here ends once all members stand whole.
func (m *Machine) awaitsWhole() bool {
	return m.departed.missing() > 0 || m.retiring || slices.ContainsFunc(m.order, func(h *held) bool { return h.behind })
}

// checkWhole forgets who is missing, and drops copies that were left behind, once all members stand whole without them.
func (m *Machine) checkWhole() {
	if m.tooManyLeft() || m.settledEpoch != m.view.Epoch || !m.awaitsWhole() {
		return
	}
	if !m.allStandWhole() {
		return
	}
	m.dropBehind()
	if m.departed.missing() > 0 {
		m.forgetDeparted()
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
		if h.behind && !h.owner {
			m.discard(h)
		}
	}
}

func (m *Machine) forgetDeparted() {
	if m.tooManyMissing() {
		m.departed.doubtUntil = m.env.Now() + m.options.KeepFor
	}
	m.departed.whole = m.view.Epoch
	clear(m.departed.since)
	clear(m.departed.obscured)
	m.obscured = false
	m.departed.last = nil
	m.departed.change(m.view, m.env.Now())
	m.writeDeparted()
}

func (m *Machine) writeDeparted() {
	var at journal.Location
	emptied := maps.Clone(m.departed.emptied)
	at = m.write(m.departed.encode(), true, func() { m.departed.at, m.departed.lasting = &at, emptied })
}

// expireDeparted forgets who has been missing for longer than batch jobs are kept.
func (m *Machine) expireDeparted(now time.Duration) {
	for key, at := range m.departed.since {
		if now-at > m.options.KeepFor {
			delete(m.departed.since, key)
			m.settled = false // what was left to them is looked at again
		}
	}
	maps.DeleteFunc(m.departed.emptied, func(key placement.Key, at time.Duration) bool {
		_, present := placement.MemberOf(m.view, key)
		return !present && now-at > 2*m.options.KeepFor
	})
	maps.DeleteFunc(m.departed.obscured, func(_ placement.Key, at time.Duration) bool { return now-at > m.options.KeepFor })
	if now-m.departed.blankAt > m.options.KeepFor {
		m.departed.blank = false
	}
	_, noted := m.departed.obscured[m.self]
	m.obscured = m.obscured && noted
}

// tellSettled tells the others how far this store is, and asks them if that is awaited here.
func (m *Machine) tellSettled() {
	m.departed.toldAt = m.env.Now()
	notice := SettledNotice{
		Stamp: m.stamp(), Settled: m.settledEpoch, Ask: m.awaitsWhole(), Emptied: m.drained(), Missing: m.missing(),
	}
	m.others(func(other protocol.Process) { m.env.Send(other, notice) })
}

func (m *Machine) settledNotice(from protocol.Process, notice SettledNotice) {
	key := placement.KeyOf(from)
	m.departed.settled[key] = notice.Settled
	if notice.Emptied {
		m.noteEmptied(key)
	}
	m.takeMissing(key, notice.Missing)
	if notice.Ask || notice.Emptied {
		m.afterWrites(func() {
			m.env.Send(from, SettledNotice{Stamp: m.stamp(), Settled: m.settledEpoch, Missing: m.missing()})
		})
	}
	m.checkWhole()
}

// missing is what this store tells of those that left.
func (m *Machine) missing() Missing {
	d := &m.departed
	return Missing{
		Blank: d.blank, Stores: slices.Sorted(maps.Keys(d.since)), Whole: d.whole, Emptied: slices.Sorted(maps.Keys(d.lasting)),
	}
}

// takeMissing takes in what another store tells of those that left. A blank store learns all of it. One that isn't forgets
// those that are not missing for a store that has seen each view since all members stood whole: what left before isn't
// needed, and what left later is missing for that one, too. Each store learns that by itself, and who did so later would
// count them together with the next that leaves.
func (m *Machine) takeMissing(from placement.Key, told Missing) {
	d := &m.departed
	for _, key := range told.Emptied {
		if key == m.self {
			m.toldEmptied[from] = true
		}
		m.noteEmptied(key)
	}
	if told.Blank {
		return
	}
	before, tooMany := len(d.since), m.tooManyLeft()
	learns := d.blank
	if learns {
		d.blank = false
		for _, key := range told.Stores {
			if _, present := placement.MemberOf(m.view, key); !present && !d.isEmptied(key) {
				d.since[key] = m.env.Now()
			}
		}
	}
	if told.Whole > 0 {
		maps.DeleteFunc(d.since, func(key placement.Key, _ time.Duration) bool { return !slices.Contains(told.Stores, key) })
	}
	if len(d.since) != before || learns {
		m.rewriteMissing(tooMany)
	}
}

// noteEmptied notes that a store retires, or has, and holds nothing that others need: it isn't missed.
func (m *Machine) noteEmptied(key placement.Key) {
	d := &m.departed
	if d.isEmptied(key) {
		return
	}
	tooMany := m.tooManyLeft()
	d.emptied[key] = m.env.Now()
	delete(d.since, key)
	m.rewriteMissing(tooMany)
}

// rewriteMissing keeps who is missing, and looks again at what was left to stores that aren't.
func (m *Machine) rewriteMissing(tooManyBefore bool) {
	m.departed.list(m.view)
	m.writeDeparted()
	if tooManyBefore && !m.tooManyLeft() && m.settled {
		m.restart()
	}
}

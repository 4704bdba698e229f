package replica

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns whether the members of the view together know of every batch job. They do as long as no more of those that
// left it are missing than copies but one, counted since all members stood whole: then one copy of each is among them. When
// more are missing, as after a loss of power everywhere, what isn't known here may still come back, and nobody may be told
// that it doesn't exist. What the last view was is kept on the disk, as a start in between must not forget who is missing.

const noticeAgain = time.Second

// departed is who left the view since all members stood whole, and when.
type departed struct {
	since   map[placement.Key]time.Duration
	settled map[placement.Key]uint64 // epoch in which each other member told that it stands whole
	last    []placement.Key          // members of the last view, and those that were missing then
	emptied map[placement.Key]bool   // stores that retire and hold nothing that others need
	toldAt  time.Duration
}

// change takes a new view.
func (d *departed) change(view protocol.StoreView, now time.Duration) {
	for _, key := range d.last {
		if _, missing := d.since[key]; !missing && !d.emptied[key] {
			d.since[key] = now
		}
	}
	for _, member := range view.Members {
		delete(d.since, placement.KeyOf(member.Process))
	}
	d.last = d.last[:0]
	for _, member := range view.Members {
		if key := placement.KeyOf(member.Process); member.State != protocol.StoreRetired && !d.emptied[key] {
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
	return out
}

func (d *departed) replay(record []byte) error {
	r := &job.Reader{Rest: record[1:]}
	d.last = d.last[:0]
	count := r.Uvarint()
	for i := uint64(0); i < count && !r.Failed; i++ {
		d.last = append(d.last, placement.Key(r.Text()))
	}
	if r.Failed {
		return job.ErrCorrupt
	}
	return nil
}

// sure tells whether the members of the view together know of every batch job, and this store knows what they know.
func (m *Machine) sure() bool { return m.settled && !m.tooManyMissing() }

// tooManyMissing tells that a batch job's newest copies may all be on stores that left the view.
func (m *Machine) tooManyMissing() bool { return len(m.departed.since) >= m.options.Copies }

// isNewest tells whether the highest version that the members hold is the highest there is. An owner's disk holds a new
// version first, and the owner is one of the set before it; so that set's presence without a higher version proves it.
func (m *Machine) isNewest(found *copies) bool {
	return !m.tooManyMissing() || m.allActive(found.replicas)
}

// checkDeparted forgets who is missing, once all members stand whole without them.
func (m *Machine) checkDeparted() {
	if len(m.departed.since) == 0 || len(m.departed.since) >= m.options.Copies || m.settledEpoch != m.view.Epoch {
		return
	}
	whole := true
	m.others(func(other protocol.Process) {
		whole = whole && m.departed.settled[placement.KeyOf(other)] == m.view.Epoch
	})
	if whole {
		m.forgetDeparted()
	}
}

func (m *Machine) forgetDeparted() {
	clear(m.departed.since)
	m.departed.last = nil
	m.departed.change(m.view, m.env.Now())
	m.writeDeparted()
}

func (m *Machine) writeDeparted() { m.write(m.departed.encode(), false, func() {}) }

// expireDeparted forgets who has been missing for longer than batch jobs are kept.
func (m *Machine) expireDeparted(now time.Duration) {
	for key, at := range m.departed.since {
		if now-at > m.options.KeepFor {
			delete(m.departed.since, key)
			m.settled = false // what was left to them is looked at again
		}
	}
}

// tellSettled tells the others how far this store is, and asks them if that is awaited here.
func (m *Machine) tellSettled() {
	m.departed.toldAt = m.env.Now()
	notice := SettledNotice{
		Stamp: m.stamp(), Settled: m.settledEpoch, Ask: len(m.departed.since) > 0, Emptied: m.drained(),
	}
	m.others(func(other protocol.Process) { m.env.Send(other, notice) })
}

func (m *Machine) settledNotice(from protocol.Process, notice SettledNotice) {
	key := placement.KeyOf(from)
	m.departed.settled[key] = notice.Settled
	if notice.Emptied && !m.departed.emptied[key] {
		m.departed.emptied[key] = true
		m.departed.change(m.view, m.env.Now())
		m.writeDeparted()
	}
	if notice.Ask {
		m.env.Send(from, SettledNotice{Stamp: m.stamp(), Settled: m.settledEpoch})
	}
	m.checkDeparted()
}

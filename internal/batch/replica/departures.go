package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Do the members of the view together know of every batch job?
//
// They do as long as fewer than ReplicationFactor machines are missing, counted since all members had last
// reconciled: then one copy of each batch job is among them. When more are missing, as after a loss of power
// everywhere, what isn't known here may still come back; no call may be answered that it doesn't exist, and
// no store may accept it again. The list of departed stores is part of the agreed view, and so is that all
// members have reconciled without them: no store concludes it from the views that it happened to see.
// Machines are counted, not disks: the members of one replica set were in one view, and a view has one disk
// of each machine.

// departureSet is who departed since all members had last reconciled, whose logs are incomplete, and how far
// the other members have reconciled, which ends both.
type departureSet struct {
	stores           map[placement.Key]departure
	reconciledEpochs map[placement.Key]uint64 // newest epoch in which each other member reported that it had reconciled
	noticeSentAt     time.Duration

	// incompleteLogs: stores that may have held batch jobs that they can't name, and since when that is known.
	// They count like departed ones.
	incompleteLogs map[placement.Key]time.Duration
	// uncertainUntil: departed stores and incomplete logs together were too many when the latter were given up,
	// so that batch jobs may be lost. Clients may ask for these until then, and are not answered 404.
	uncertainUntil time.Duration

	viewRecordAt *wal.Location // of the newest durable record of the view
	actedEpoch   uint64        // of the newest view that this store acted in, in earlier incarnations as well
	memberSince  uint64        // this store has been a member of all views from this epoch on; 0 for not a member
}

// departure is a store that left the view.
type departure struct {
	node    string
	at      time.Duration // when this process learnt of it
	expired bool          // it has been missing for longer than batch jobs are kept
}

// enterEpoch notes since when this store has been a member without a gap. A view that it may have missed is a
// gap.
func (d *departureSet) enterEpoch(epoch uint64, present bool) {
	switch {
	case !present:
		d.memberSince = 0
	case d.memberSince == 0 || epoch > d.actedEpoch+1:
		d.memberSince = epoch
	}
	d.actedEpoch = epoch
}

// update takes in who departed before a view, and whose incomplete logs still count.
func (d *departureSet) update(view protocol.StoreView, now time.Duration) {
	before := d.stores
	d.stores = make(map[placement.Key]departure, len(view.Departed))
	for _, process := range view.Departed {
		key := placement.KeyOf(process)
		departed, known := before[key]
		if !known {
			departed = departure{node: process.Node, at: now}
		}
		d.stores[key] = departed
	}
	maps.DeleteFunc(d.incompleteLogs, func(key placement.Key, _ time.Duration) bool {
		_, present := placement.MemberOf(view, key)
		return !present // it counts as departed
	})
}

// missingStores returns the departed stores that are missed, by key.
func (d *departureSet) missingStores() []placement.Key {
	var list []placement.Key
	for key, departed := range d.stores {
		if !departed.expired {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// countDeparted returns the number of machines whose stores departed and are missed.
func (d *departureSet) countDeparted() int { return len(d.departedNodes()) }

// departedNodes returns the machines whose stores departed and are missed.
func (d *departureSet) departedNodes() map[string]bool {
	nodes := make(map[string]bool, len(d.stores))
	for _, departed := range d.stores {
		if !departed.expired {
			nodes[departed.node] = true
		}
	}
	return nodes
}

// countMissing returns the number of machines that may have held what the others don't know of: departed ones
// and those with incomplete logs.
func (d *departureSet) countMissing() int {
	nodes := d.departedNodes()
	for key := range d.incompleteLogs {
		nodes[key.Node()] = true
	}
	return len(nodes)
}

// noteIncompleteLog takes in whether a store's log is incomplete.
func (d *departureSet) noteIncompleteLog(key placement.Key, incomplete bool, now time.Duration) {
	_, noted := d.incompleteLogs[key]
	switch {
	case !incomplete:
		delete(d.incompleteLogs, key)
	case !noted:
		d.incompleteLogs[key] = now
		clear(d.reconciledEpochs) // they have to reconcile with this known
	}
}

// knowsEveryJob reports whether the members of the view together know of every batch job, and this store
// knows what they know.
func (m *StateMachine) knowsEveryJob() bool {
	return m.reconciled && !m.tooManyMissing() && m.env.Now() >= m.departures.uncertainUntil
}

// tooManyMissing reports whether a batch job's newest copies may all be on departed stores or corrupt.
func (m *StateMachine) tooManyMissing() bool {
	return m.departures.countMissing() >= m.options.ReplicationFactor
}

// tooManyDeparted reports whether all copies of a batch job may be on departed stores, and may come back with
// them.
func (m *StateMachine) tooManyDeparted() bool {
	return m.departures.countDeparted() >= m.options.ReplicationFactor
}

// expireDeparted gives up stores that have been missing for longer than batch jobs are kept.
func (m *StateMachine) expireDeparted(now time.Duration) {
	for key, departed := range m.departures.stores {
		if !departed.expired && now-departed.at > m.options.Retention {
			departed.expired = true
			m.departures.stores[key] = departed
			m.reconciled = false // what they may have held is decided anew
		}
	}
	// The own log is noted with the first reconciliation only. Until then it isn't known to anybody, and stays incomplete.
	_, noted := m.departures.incompleteLogs[m.self]
	maps.DeleteFunc(m.departures.incompleteLogs, func(_ placement.Key, at time.Duration) bool {
		return now-at > m.options.Retention
	})
	if _, remains := m.departures.incompleteLogs[m.self]; noted && !remains {
		m.incompleteLog = false
	}
}

// forgetIncompleteLogs stops counting incomplete logs: all members have reconciled, so what those held is
// known again or lost.
func (m *StateMachine) forgetIncompleteLogs() {
	if m.tooManyMissing() {
		m.departures.uncertainUntil = m.env.Now() + m.options.Retention
	}
	clear(m.departures.incompleteLogs)
	if m.incompleteLog {
		m.incompleteLog = false
		m.findingPlaces.close()
		m.writeViewRecord()
	}
}

// writeViewRecord writes the epoch that this store acts in.
func (m *StateMachine) writeViewRecord() {
	var at wal.Location
	at = m.write(m.encodeView(), true, func() { m.departures.viewRecordAt = &at })
}

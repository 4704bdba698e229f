package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file keeps track of departed stores and incomplete logs, and decides whether the members of the view together
// know of every batch job.
//
// They do as long as fewer than ReplicationFactor machines are missing, counted since all members had last reconciled:
// then at least one member has a copy of each batch job. When more machines are missing, for example after a loss of
// power everywhere, a batch job that isn't known here may still return: no call may be answered that the batch job
// doesn't exist, and no store may accept it again. Both the list of departed stores and the fact that all members have
// reconciled without them are part of the agreed view; no store concludes either from the views that it happened to
// see. Machines are counted, not disks: the members of one replica set were in one view, and a view has one disk of
// each machine.

// departureSet contains the stores that departed since all members had last reconciled, the stores whose logs are
// incomplete, and the epochs in which the other members have reconciled. Once all members have reconciled, neither
// departed stores nor incomplete logs count any more.
type departureSet struct {
	stores           map[placement.Key]departure
	reconciledEpochs map[placement.Key]uint64 // newest epoch in which each other member reported that it had reconciled
	noticeSentAt     time.Duration

	// incompleteLogs has the stores that may have held batch jobs that they can't name, with the time at which this
	// store learnt it. They count like departed stores.
	incompleteLogs map[placement.Key]time.Duration
	// uncertainUntil is set when incomplete logs stop counting although departed stores and incomplete logs together
	// were too many, so that batch jobs may be lost. Until then clients may ask for these batch jobs, and are not
	// answered 404.
	uncertainUntil time.Duration

	viewRecordAt *wal.Location // location of the newest durable view record
	actedEpoch   uint64        // epoch of the newest view that this store acted in, earlier incarnations included
	memberSince  uint64        // this store has been a member of all views from this epoch on; 0 if it isn't a member
}

// departure is a store that left the view.
type departure struct {
	node    string
	at      time.Duration // when this process learnt of the departure
	expired bool          // the store has been missing for longer than batch jobs are kept
}

// enterEpoch updates the epoch since which this store has been a member without a gap. A skipped epoch, whose view this
// store may have missed, counts as a gap.
func (d *departureSet) enterEpoch(epoch uint64, present bool) {
	switch {
	case !present:
		d.memberSince = 0
	case d.memberSince == 0 || epoch > d.actedEpoch+1:
		d.memberSince = epoch
	}
	d.actedEpoch = epoch
}

// update replaces the departed stores by those that a view lists, and removes the incomplete logs of stores that
// aren't members of the view.
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
		return !present // the store counts as departed
	})
}

// missingStores returns the departed stores whose departure hasn't expired, sorted by key.
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

// countDeparted returns the number of machines whose stores departed, without expired departures.
func (d *departureSet) countDeparted() int { return len(d.departedNodes()) }

// departedNodes returns the machines whose stores departed, without expired departures.
func (d *departureSet) departedNodes() map[string]bool {
	nodes := make(map[string]bool, len(d.stores))
	for _, departed := range d.stores {
		if !departed.expired {
			nodes[departed.node] = true
		}
	}
	return nodes
}

// countMissing returns the number of machines that may have held batch jobs of which the other stores don't know:
// those whose stores departed, and those with incomplete logs.
func (d *departureSet) countMissing() int {
	nodes := d.departedNodes()
	for key := range d.incompleteLogs {
		nodes[key.Node()] = true
	}
	return len(nodes)
}

// noteIncompleteLog records whether a store's log is incomplete.
func (d *departureSet) noteIncompleteLog(key placement.Key, incomplete bool, now time.Duration) {
	_, noted := d.incompleteLogs[key]
	switch {
	case !incomplete:
		delete(d.incompleteLogs, key)
	case !noted:
		d.incompleteLogs[key] = now
		clear(d.reconciledEpochs) // the members have to reconcile again, with this known
	}
}

// knowsEveryJob reports whether the members of the view together know of every batch job, and this store has their
// inventories.
func (m *StateMachine) knowsEveryJob() bool {
	return m.reconciled && !m.tooManyMissing() && m.env.Now() >= m.departures.uncertainUntil
}

// tooManyMissing reports whether all of a batch job's newest copies may be on departed stores, or corrupt in incomplete
// logs.
func (m *StateMachine) tooManyMissing() bool {
	return m.departures.countMissing() >= m.options.ReplicationFactor
}

// tooManyDeparted reports whether all copies of a batch job may be on departed stores, and may return with them.
func (m *StateMachine) tooManyDeparted() bool {
	return m.departures.countDeparted() >= m.options.ReplicationFactor
}

// expireDeparted stops counting departed stores and incomplete logs that have been known for longer than batch jobs
// are kept.
func (m *StateMachine) expireDeparted(now time.Duration) {
	for key, departed := range m.departures.stores {
		if !departed.expired && now-departed.at > m.options.Retention {
			departed.expired = true
			m.departures.stores[key] = departed
			m.reconciled = false // the ownership of the batch jobs that they may have held is decided anew
		}
	}
	// This store's own log is noted only with the first reconciliation. Until then no store knows that it is
	// incomplete, and it stays so.
	_, noted := m.departures.incompleteLogs[m.self]
	maps.DeleteFunc(m.departures.incompleteLogs, func(_ placement.Key, at time.Duration) bool {
		return now-at > m.options.Retention
	})
	if _, remains := m.departures.incompleteLogs[m.self]; noted && !remains {
		m.incompleteLog = false
	}
}

// forgetIncompleteLogs stops counting incomplete logs. All members have reconciled, so the batch jobs that those logs
// held are known again, or lost.
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

// writeViewRecord writes a view record.
func (m *StateMachine) writeViewRecord() {
	var at wal.Location
	at = m.write(m.encodeView(), true, func() { m.departures.viewRecordAt = &at })
}

// Package liveness owns what the control processes know of who is up: which gateways and batch processes polled, here or at
// another control process, and when. It decides which batch processes are to join the agreed set and which are to leave it.
// It is pure: time comes in as a duration since the process's start, by the steady clock. It must never grant anything.
package liveness

import (
	"cmp"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// The times of presence.
const (
	// StoreLease is a batch process's right to act, from when it sent its poll, by its own clock.
	StoreLease = 1500 * time.Millisecond
	// SuspectAfter is the silence after which a batch process gets no lease any more. The head hears of a poll 0.8 s after the one
	// before at the latest: protocol.PollInterval, and the time between two reports.
	SuspectAfter = time.Second
	// EvictAfter is the silence after which a batch process leaves the set: its lease has surely ended.
	EvictAfter = 2200 * time.Millisecond
	// GatewayTime is how long a gateway that doesn't poll stays on the list.
	GatewayTimeout = 3 * time.Second
	// CoverageMost is how old the newest report of every other control process may be where silence is to be concluded.
	MaxReportAge = time.Second
	// RejoinAfter is how long a machine whose retirement was completed polls before it joins under another disk. It is to be removed at
	// once, so what it took meanwhile would be lost; one that stays is another machine under that name.
	RejoinAfter = 10 * time.Second
	// ForgetAfter is how long a process that doesn't poll is remembered.
	ForgetAfter = 30 * time.Second
)

// Heard is a process that polled.
type Contact struct {
	Process protocol.Process
	Ready   bool
	Batch   *protocol.BatchReport
	At      time.Duration // of the newest poll
	since   time.Duration // of the first poll of this life that this table heard of
}

// Table is what one control process knows. It isn't safe for concurrent use.
type Table struct {
	contacts        map[processKey]Contact
	reportsAt       map[string]time.Duration // by the other control process's address: when its newest report was made, at the earliest
	leads           bool
	epoch           uint64 // of the lead
	leadsSince      time.Duration
	suspicionSeenAt map[uint64]time.Duration // when suspicions were seen first in this lead, by their numbers
}

type processKey struct{ node, role string }

// New gives an empty table.
func New() *Table {
	return &Table{contacts: map[processKey]Contact{}, reportsAt: map[string]time.Duration{}, suspicionSeenAt: map[uint64]time.Duration{}}
}

// Observe takes in a poll, heard here or told by another control process. It tells whether the process, or its life, is new.
func (t *Table) Observe(one Contact) bool {
	id := processKey{one.Process.Node, one.Process.Role}
	old, known := t.contacts[id]
	if known && old.At > one.At {
		return false
	}
	same := known && old.Process == one.Process
	one.since = one.At
	if same {
		one.since = old.since
	}
	t.contacts[id] = one
	return !same
}

// Newest gives what a life of a process told last.
func (t *Table) LastContact(process protocol.Process) (Contact, bool) {
	one, known := t.contacts[processKey{process.Node, process.Role}]
	return one, known && one.Process == process
}

// Cover notes that a control process's report, made at a time, was taken in whole.
func (t *Table) ReportReceived(address string, at time.Duration) {
	t.reportsAt[address] = max(at, t.reportsAt[address])
}

// Lead notes whether this process leads the chain, and in which epoch. Each epoch begins anew: a control process that it left out
// may have granted a lease, of which nothing was heard here, up to the decision on it.
func (t *Table) SetLeadership(now time.Duration, epoch uint64, lead bool) {
	if lead && (!t.leads || epoch != t.epoch) {
		t.leadsSince = now
		clear(t.suspicionSeenAt)
	}
	t.leads, t.epoch = lead, epoch
}

// Gateways gives the gateways that are up, by name.
func (t *Table) Gateways(now time.Duration) []protocol.Process {
	var list []protocol.Process
	for id, one := range t.contacts {
		if id.role == protocol.RoleGateway && now-one.At <= GatewayTimeout {
			list = append(list, one.Process)
		}
	}
	slices.SortFunc(list, func(a, b protocol.Process) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Since gives the processes that polled at a time or later, by name.
func (t *Table) PolledSince(from time.Duration) []Contact {
	var list []Contact
	for _, one := range t.contacts {
		if one.At >= from {
			list = append(list, one)
		}
	}
	slices.SortFunc(list, func(a, b Contact) int {
		return cmp.Or(cmp.Compare(a.Process.Node, b.Process.Node), cmp.Compare(a.Process.Role, b.Process.Role))
	})
	return list
}

// Forget drops processes that have been silent for long.
func (t *Table) Expire(now time.Duration) {
	for id, one := range t.contacts {
		if now-one.At > ForgetAfter {
			delete(t.contacts, id)
		}
	}
}

// Admission is whether a batch process that isn't in the set may join it.
type Admission int

// The admissions.
const (
	Admitted           Admission = iota
	AdmittedAfterDelay           // once it has polled for RejoinAfter
	NotAdmitted
)

// Joins gives the batch processes that poll, are not in the set and may join it.
func (t *Table) Joins(now time.Duration, view protocol.StoreView, admission func(protocol.Process) Admission) []protocol.Process {
	if !t.leads {
		return nil
	}
	var list []protocol.Process
	for _, one := range t.PolledSince(now - StoreLease) {
		if one.Process.Role != protocol.RoleBatch || contains(view, one.Process) {
			continue
		}
		verdict := admission(one.Process)
		if verdict == Admitted || verdict == AdmittedAfterDelay && now-one.since >= RejoinAfter {
			list = append(list, one.Process)
		}
	}
	return list
}

// ActedIn gives the highest epoch that one of some batch processes acted in.
func (t *Table) LastEpochActedIn(processes []protocol.Process) uint64 {
	highest := uint64(0)
	for _, process := range processes {
		if one, known := t.LastContact(process); known && one.Batch != nil {
			highest = max(highest, one.Batch.ActedIn)
		}
	}
	return highest
}

func contains(view protocol.StoreView, process protocol.Process) bool {
	return slices.ContainsFunc(view.Members, func(one protocol.StoreMember) bool { return one.Process == process })
}

// Evictions gives the members of the set that have polled nowhere for so long that their lease has surely ended. others are the
// addresses of the other control processes of the chain: as long as one of them says nothing, a batch process may be polling there.
func (t *Table) Evictions(now time.Duration, view protocol.StoreView, others []string) []protocol.StoreMember {
	if !t.leads || now-t.leadsSince < EvictAfter || !t.reportsCurrent(now, others) {
		return nil
	}
	var list []protocol.StoreMember
	for _, member := range view.Members {
		if now-t.lastContactAt(member.Process) >= EvictAfter {
			list = append(list, member)
		}
	}
	return list
}

// Suspicion is a member of the set that is under suspicion, or that is to be.
type Suspicion struct {
	Member protocol.StoreMember
	Number uint64 // in the chain; 0: none
}

// Suspects gives the members whose silence is to be recorded, and those that poll again and are to be cleared.
func (t *Table) Suspects(now time.Duration, suspicions []Suspicion, others []string) (silent, back []protocol.StoreMember) {
	if !t.leads {
		return nil, nil
	}
	covered := t.reportsCurrent(now, others)
	for _, one := range suspicions {
		quiet := now-t.lastContactAt(one.Member.Process) >= SuspectAfter
		switch {
		case one.Number != 0 && !quiet:
			back = append(back, one.Member)
		case one.Number == 0 && quiet && covered:
			silent = append(silent, one.Member)
		}
	}
	return silent, back
}

// Ripe tells whether a suspicion has stood for as long as a lease that was granted before it, and notes it. It is asked of all.
func (t *Table) SuspicionExpired(now time.Duration, suspicion uint64) bool {
	if suspicion == 0 {
		return false
	}
	since, known := t.suspicionSeenAt[suspicion]
	if !known {
		t.suspicionSeenAt[suspicion] = now
		return false
	}
	return now-since >= StoreLease
}

func (t *Table) reportsCurrent(now time.Duration, others []string) bool {
	for _, address := range others {
		at, known := t.reportsAt[address]
		if !known || now-at > MaxReportAge {
			return false
		}
	}
	return true
}

// heardAt gives when a life of a process polled last. One that was never heard counts from when this process began to lead.
func (t *Table) lastContactAt(process protocol.Process) time.Duration {
	one, known := t.contacts[processKey{process.Node, process.Role}]
	if !known || one.Process.Incarnation != process.Incarnation {
		return t.leadsSince
	}
	return max(one.At, t.leadsSince)
}

// Settled tells that all members of the set that may hold something have told that they stand whole in its newest epoch, and wait for
// no more machines than may be lost at once.
func (t *Table) Reconciled(now time.Duration, view protocol.StoreView, tolerance int) bool {
	if !t.leads || view.Settled || len(view.Members) == 0 {
		return false
	}
	for _, member := range view.Members {
		if member.State == protocol.StoreRetired {
			continue
		}
		report := t.recentReport(now, member.Process)
		if report == nil || report.Settled < view.Epoch || report.Missing > tolerance {
			return false
		}
	}
	return true
}

// Emptied gives the retiring members that hold nothing any more that others need: they say so themselves in the newest epoch, and
// all active members have settled it.
func (t *Table) Drained(now time.Duration, view protocol.StoreView) []protocol.StoreMember {
	if !t.leads || !t.activeReconciled(now, view) {
		return nil
	}
	var list []protocol.StoreMember
	for _, member := range view.Members {
		if member.State != protocol.StoreRetiring {
			continue
		}
		if report := t.recentReport(now, member.Process); report != nil && report.Epoch == view.Epoch && report.DrainedDown {
			list = append(list, member)
		}
	}
	return list
}

func (t *Table) activeReconciled(now time.Duration, view protocol.StoreView) bool {
	for _, member := range view.Members {
		if member.State != protocol.StoreActive {
			continue
		}
		report := t.recentReport(now, member.Process)
		if report == nil || report.Settled < view.Epoch {
			return false
		}
	}
	return true
}

// report gives what a batch process's life told last, where that isn't too long ago.
func (t *Table) recentReport(now time.Duration, process protocol.Process) *protocol.BatchReport {
	one, known := t.contacts[processKey{process.Node, process.Role}]
	if !known || one.Process.Incarnation != process.Incarnation || now-one.At > EvictAfter {
		return nil
	}
	return one.Batch
}

package liveness

import (
	"cmp"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Leases and time-outs.
const (
	// StoreLease is the length of a batch process's lease. The lease starts when the batch process sent its poll,
	// by the batch process's clock.
	StoreLease = 1500 * time.Millisecond
	// SuspectAfter is the time without a poll after which a batch process is suspected and granted no more leases.
	// It must exceed 0.8 s, the longest time between two polls as observed by the head of the chain:
	// protocol.PollInterval plus the interval of the control processes' reports.
	SuspectAfter = time.Second
	// EvictAfter is the time without a poll after which a batch process is evicted. Its lease has ended by then in
	// any case.
	EvictAfter = 2200 * time.Millisecond
	// GatewayTimeout is how long a gateway that no longer polls stays in the member list.
	GatewayTimeout = 3 * time.Second
	// MaxReportAge is the maximum age of a control process's report at which it still shows that a batch process
	// missing from it doesn't poll that control process.
	MaxReportAge = time.Second
	// RejoinAfter is how long a machine whose retirement was completed must poll before it joins again with
	// another disk. A retired machine is removed at once, and data that it stored after joining again would be
	// lost. A machine that polls for this long is a different machine with the same name.
	RejoinAfter = 10 * time.Second
	// ForgetAfter is how long a process that no longer polls stays in the table.
	ForgetAfter = 30 * time.Second
)

// Contact is the newest poll of a process.
type Contact struct {
	Process     protocol.Process
	Ready       bool
	Batch       *protocol.BatchReport
	At          time.Duration // time of the poll; like all times here since the control process's start
	firstPollAt time.Duration // time of the first known poll of this incarnation
}

// Table holds what one control process knows about the liveness of gateways and batch processes. It isn't safe
// for concurrent use.
type Table struct {
	contacts        map[processKey]Contact
	reportsAt       map[string]time.Duration // when the newest report was received, by IP of the control process
	leads           bool                     // this process leads the chain in epoch
	epoch           uint64
	leadsSince      time.Duration            // start of the leadership in epoch
	suspicionSeenAt map[uint64]time.Duration // when a suspicion was first seen in this leadership, by number
}

// processKey identifies a process across its incarnations.
type processKey struct{ node, role string }

// New returns an empty table for a process that doesn't lead the chain.
func New() *Table {
	return &Table{
		contacts:        map[processKey]Contact{},
		reportsAt:       map[string]time.Duration{},
		suspicionSeenAt: map[uint64]time.Duration{},
	}
}

// Observe records a poll that was received by this process or reported by another control process. A poll older
// than the newest known one is ignored. Observe reports whether the leader should act on the poll without delay:
// the process or its incarnation is new, or a batch process has advanced in reconciling or was drained.
func (t *Table) Observe(contact Contact) bool {
	key := processKey{contact.Process.Node, contact.Process.Role}
	newest, known := t.contacts[key]
	if known && newest.At > contact.At {
		return false
	}
	same := known && newest.Process == contact.Process
	contact.firstPollAt = contact.At
	if same {
		contact.firstPollAt = newest.firstPollAt
	}
	t.contacts[key] = contact
	return !same || advanced(newest.Batch, contact.Batch)
}

// advanced reports whether a batch process's report shows progress that Reconciled or Drained depends on.
func advanced(before, now *protocol.BatchReport) bool {
	if before == nil || now == nil {
		return before != now
	}
	return now.Settled > before.Settled || now.DrainedDown && !before.DrainedDown || now.Missing < before.Missing
}

// LastContact returns the newest poll of an incarnation of a process. It reports false if no poll of that
// incarnation is known.
func (t *Table) LastContact(process protocol.Process) (Contact, bool) {
	contact, known := t.contacts[processKey{process.Node, process.Role}]
	return contact, known && contact.Process == process
}

// ReportReceived records when another control process's report of its pollers was received. It is called after
// Observe has been called for all pollers in the report.
func (t *Table) ReportReceived(address string, at time.Duration) {
	t.reportsAt[address] = max(at, t.reportsAt[address])
}

// SetLeadership records whether this process leads the chain, and in which epoch. All waiting times restart with
// each epoch: until the epoch was decided, a control process that it leaves out may have granted leases that were
// never reported to this process.
func (t *Table) SetLeadership(now time.Duration, epoch uint64, lead bool) {
	if lead && (!t.leads || epoch != t.epoch) {
		t.leadsSince = now
		clear(t.suspicionSeenAt)
	}
	t.leads, t.epoch = lead, epoch
}

// Gateways returns the gateways that have polled within GatewayTimeout, sorted by node.
func (t *Table) Gateways(now time.Duration) []protocol.Process {
	var list []protocol.Process
	for id, contact := range t.contacts {
		if id.role == protocol.RoleGateway && now-contact.At <= GatewayTimeout {
			list = append(list, contact.Process)
		}
	}
	slices.SortFunc(list, func(a, b protocol.Process) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// PolledSince returns the contacts of the processes that polled at or after from, sorted by node and role.
func (t *Table) PolledSince(from time.Duration) []Contact {
	var list []Contact
	for _, contact := range t.contacts {
		if contact.At >= from {
			list = append(list, contact)
		}
	}
	slices.SortFunc(list, func(a, b Contact) int {
		return cmp.Or(cmp.Compare(a.Process.Node, b.Process.Node), cmp.Compare(a.Process.Role, b.Process.Role))
	})
	return list
}

// Expire removes processes that have not polled for ForgetAfter.
func (t *Table) Expire(now time.Duration) {
	for id, contact := range t.contacts {
		if now-contact.At > ForgetAfter {
			delete(t.contacts, id)
		}
	}
}

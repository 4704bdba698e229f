package liveness

import (
	"cmp"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Times of liveness.
const (
	// StoreLease is the length of a batch process's lease. It counts from when the process sent its poll, by its
	// own clock.
	StoreLease = 1500 * time.Millisecond
	// SuspectAfter is the time without a poll after which a batch process comes under suspicion, and is granted
	// no lease any more. It is above 0.8 s, the longest time between two polls as the head of the chain sees
	// them: protocol.PollInterval, and the interval of the control processes' reports.
	SuspectAfter = time.Second
	// EvictAfter is the time without a poll after which a batch process is evicted. Its lease has certainly
	// ended by then.
	EvictAfter = 2200 * time.Millisecond
	// GatewayTimeout is how long a gateway that doesn't poll stays in the member list.
	GatewayTimeout = 3 * time.Second
	// MaxReportAge is the greatest age of a control process's report from which it may be concluded that a batch
	// process doesn't poll there.
	MaxReportAge = time.Second
	// RejoinAfter is how long a machine whose retirement was completed must poll before it joins again with
	// another disk. The retired machine is removed at once, and what it stored after a join would be lost; one
	// that stays this long is another machine with the same name.
	RejoinAfter = 10 * time.Second
	// ForgetAfter is how long a process that doesn't poll stays in the table.
	ForgetAfter = 30 * time.Second
)

// Contact is the newest poll of a process.
type Contact struct {
	Process     protocol.Process
	Ready       bool
	Batch       *protocol.BatchReport
	At          time.Duration // of the poll; since the control process's start, as are all times here
	firstPollAt time.Duration // of the first poll of this incarnation that is known
}

// Table is what one control process knows of the liveness of gateways and batch processes. It isn't safe for
// concurrent use.
type Table struct {
	contacts        map[processKey]Contact
	reportsAt       map[string]time.Duration // when the newest report was received, by the control process's IP
	leads           bool                     // the chain, in epoch
	epoch           uint64
	leadsSince      time.Duration            // begin of the leadership in epoch
	suspicionSeenAt map[uint64]time.Duration // when a suspicion was seen first in this leadership, by its number
}

// processKey identifies a process over its incarnations.
type processKey struct{ node, role string }

// New returns an empty table of a process that doesn't lead.
func New() *Table {
	return &Table{
		contacts:        map[processKey]Contact{},
		reportsAt:       map[string]time.Duration{},
		suspicionSeenAt: map[uint64]time.Duration{},
	}
}

// Observe records a poll, received here or reported by another control process; one that is older than the
// newest known one is ignored. It reports whether something follows from it that shouldn't wait: the process or its
// incarnation is new, or a batch process has reconciled further or was drained.
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

// advanced reports whether a report of a batch process has what members of the membership are waited for.
func advanced(before, now *protocol.BatchReport) bool {
	if before == nil || now == nil {
		return before != now
	}
	return now.Settled > before.Settled || now.DrainedDown && !before.DrainedDown || now.Missing < before.Missing
}

// LastContact returns the newest poll of an incarnation of a process. It reports false if none is known.
func (t *Table) LastContact(process protocol.Process) (Contact, bool) {
	contact, known := t.contacts[processKey{process.Node, process.Role}]
	return contact, known && contact.Process == process
}

// ReportReceived records that a report of another control process was received at a time, and processed
// whole.
func (t *Table) ReportReceived(address string, at time.Duration) {
	t.reportsAt[address] = max(at, t.reportsAt[address])
}

// SetLeadership records whether this process leads the chain, and in which epoch. All waiting begins anew
// with each epoch: a control process that the epoch leaves out may have granted leases that were never
// reported here, up to the decision on the epoch.
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

// PolledSince returns the processes that polled at a time or later, sorted by node and role.
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

// Expire drops processes that have not polled for ForgetAfter.
func (t *Table) Expire(now time.Duration) {
	for id, contact := range t.contacts {
		if now-contact.At > ForgetAfter {
			delete(t.contacts, id)
		}
	}
}

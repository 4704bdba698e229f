package liveness

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Evictions returns the members that have polled at no control process for so long that their lease has
// ended. otherControls are the addresses of the chain's other members: while one of them doesn't report, a
// batch process may be polling there, and none is evicted.
func (t *Table) Evictions(now time.Duration, view protocol.StoreView, otherControls []string) []protocol.StoreMember {
	if !t.leads || now-t.leadsSince < EvictAfter || !t.reportsCurrent(now, otherControls) {
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

// Suspicion is a member with the number of the suspicion that it is under.
type Suspicion struct {
	Member protocol.StoreMember
	Number uint64 // as the state machine gave it; 0: under no suspicion
}

// Suspects returns the members that have timed out, so that a suspicion is to be recorded, and those under
// suspicion that poll again.
func (t *Table) Suspects(
	now time.Duration,
	suspicions []Suspicion,
	otherControls []string,
) (timedOut, returned []protocol.StoreMember) {
	if !t.leads {
		return nil, nil
	}
	current := t.reportsCurrent(now, otherControls)
	for _, one := range suspicions {
		late := now-t.lastContactAt(one.Member.Process) >= SuspectAfter
		switch {
		case one.Number != 0 && !late:
			returned = append(returned, one.Member)
		case one.Number == 0 && late && current:
			timedOut = append(timedOut, one.Member)
		}
	}
	return timedOut, returned
}

// SuspicionExpired reports whether a suspicion has stood for as long as a lease that was granted before it
// may last. The time counts from the first call with the suspicion's number in this leadership, so it must be
// called regularly for every suspicion.
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

// reportsCurrent reports whether the newest report of every other control process is recent enough to
// conclude from it that a batch process doesn't poll there.
func (t *Table) reportsCurrent(now time.Duration, otherControls []string) bool {
	for _, address := range otherControls {
		at, known := t.reportsAt[address]
		if !known || now-at > MaxReportAge {
			return false
		}
	}
	return true
}

// lastContactAt returns when an incarnation of a process polled last. It is at least the start of this
// leadership, since polls before it may not have been reported here.
func (t *Table) lastContactAt(process protocol.Process) time.Duration {
	contact, known := t.contacts[processKey{process.Node, process.Role}]
	if !known || contact.Process.Incarnation != process.Incarnation {
		return t.leadsSince
	}
	return max(contact.At, t.leadsSince)
}

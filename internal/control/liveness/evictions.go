package liveness

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Evictions returns the members that have polled no control process for EvictAfter, so that their leases have
// ended. otherControls are the addresses of the chain's other members. While one of them doesn't report, a batch
// process may be polling it, so no member is evicted.
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

// Suspicion is a member with the number of the suspicion against it.
type Suspicion struct {
	Member protocol.StoreMember
	Number uint64 // assigned by the state machine; 0: no suspicion
}

// Suspects returns the members that have timed out and for which a suspicion must be committed, and the
// suspected members that poll again.
func (t *Table) Suspects(
	now time.Duration,
	suspicions []Suspicion,
	otherControls []string,
) (timedOut, returned []protocol.StoreMember) {
	if !t.leads {
		return nil, nil
	}
	current := t.reportsCurrent(now, otherControls)
	for _, suspicion := range suspicions {
		late := now-t.lastContactAt(suspicion.Member.Process) >= SuspectAfter
		switch {
		case suspicion.Number != 0 && !late:
			returned = append(returned, suspicion.Member)
		case suspicion.Number == 0 && late && current:
			timedOut = append(timedOut, suspicion.Member)
		}
	}
	return timedOut, returned
}

// SuspicionExpired reports whether a suspicion has lasted for StoreLease, so that any lease granted before it
// has ended. The time counts from the first call with the suspicion's number in this leadership, so
// SuspicionExpired must be called regularly for every suspicion.
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

// reportsCurrent reports whether the newest report of every other control process is recent enough to conclude
// that a batch process missing from it doesn't poll that control process.
func (t *Table) reportsCurrent(now time.Duration, otherControls []string) bool {
	for _, address := range otherControls {
		at, known := t.reportsAt[address]
		if !known || now-at > MaxReportAge {
			return false
		}
	}
	return true
}

// lastContactAt returns when an incarnation of a process last polled. The result is never before the start of
// this leadership, because earlier polls may not have been reported to this process.
func (t *Table) lastContactAt(process protocol.Process) time.Duration {
	contact, known := t.contacts[processKey{process.Node, process.Role}]
	if !known || contact.Process.Incarnation != process.Incarnation {
		return t.leadsSince
	}
	return max(contact.At, t.leadsSince)
}

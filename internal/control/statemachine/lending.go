package statemachine

import (
	"slices"
	"sort"

	"sprucelane.example/sprucelane/internal/quota"
)

// Lender is a process that may lend quota: one life of a control process.
type Grantor struct {
	Member  string // the control process's disk
	Process string // its life
}

// Released is the lender on record where the last one has handed its task on: it lends nothing any more.
var ReleasedGrantor = Grantor{Process: "released"}

// Lending changes the record of the nodes that quota may be lent to. A lender begins before it lends, and from then on changes
// of earlier ones have no effect. Its changes are numbered, beginnings too, so that one that comes late doesn't undo a later one, nor
// has any effect in a later time of the same lender.
type GrantsChange struct {
	Lender Grantor
	Begin  bool
	Before Grantor // of a beginning: who is the lender now, else it has no effect
	End    bool    // the lender lends nothing from now on
	Number uint64  // of the change, from 1; none of an end
	Add    []string
	Remove []string
	Floors []quota.Floor
}

// LendingOutcome is what came of a change.
type GrantsOutcome struct {
	Taken  bool
	Before Grantor  // who lent before the lender
	Nodes  []string // that quota may be lent to
	Floors []quota.Floor
}

// lending is the record.
type grantRecord struct {
	Lender Grantor
	Before Grantor
	Number uint64
	Nodes  []string      // sorted; never changed in place
	Floors []quota.Floor // of tenants, sorted; those that are 0 are left out; never changed in place
}

func (l *grantRecord) apply(change *GrantsChange) *GrantsOutcome {
	taken := change.Lender == l.Lender
	switch {
	case change.Begin && !taken && change.Before == l.Lender:
		l.Lender, l.Before, l.Number = change.Lender, l.Lender, change.Number
		taken = true
	case change.Begin && taken:
		l.Number = max(l.Number, change.Number)
	case change.End && taken:
		l.Lender, l.Before = ReleasedGrantor, l.Lender
	case !change.Begin && taken && change.Number > l.Number:
		l.Number = change.Number
		l.Nodes = withNodes(l.Nodes, change.Add, change.Remove)
		l.Floors = withFloors(l.Floors, change.Floors)
	case !change.Begin:
		taken = false
	}
	return &GrantsOutcome{Taken: taken, Before: l.Before, Nodes: l.Nodes, Floors: l.Floors}
}

func withNodes(nodes, add, remove []string) []string {
	next := slices.DeleteFunc(slices.Concat(nodes, add), func(node string) bool { return slices.Contains(remove, node) })
	slices.Sort(next)
	return slices.Compact(next)
}

// Lender gives who may lend quota.
func (m *StateMachine) Grantor() Grantor {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.grants.Lender
}

func withFloors(floors, change []quota.Floor) []quota.Floor {
	if len(change) == 0 {
		return floors
	}
	merged := make(map[string]int64, len(floors)+len(change))
	for _, one := range slices.Concat(floors, change) {
		merged[one.Tenant] = one.Tokens
	}
	next := make([]quota.Floor, 0, len(merged))
	for tenant, tokens := range merged {
		if tokens > 0 {
			next = append(next, quota.Floor{Tenant: tenant, Tokens: tokens})
		}
	}
	sort.Slice(next, func(i, j int) bool { return next[i].Tenant < next[j].Tenant })
	return next
}

package statemachine

import (
	"slices"
	"strings"

	"sprucelane.example/sprucelane/internal/quota"
)

// Grantor identifies a process that may grant quota: one incarnation of a control process. The zero value
// stands for a system in which no process has granted quota yet.
type Grantor struct {
	Member  string // name of the chain's member, which is one incarnation of a disk
	Process string // incarnation of the process
}

// ReleasedGrantor is recorded as the grantor once the last one has released its role: no process grants quota
// then.
var ReleasedGrantor = Grantor{Process: "released"}

// GrantsChange changes the grant record. A process is recorded as the grantor (Begin) before it grants
// anything; changes of the grantor before it have no effect from then on. All changes but End are numbered,
// so that one that arrives late neither undoes a later one nor has any effect on a later term of the same
// grantor.
type GrantsChange struct {
	Lender Grantor // the grantor that proposes the change
	Begin  bool    // Lender becomes the grantor
	// With Begin: the grantor that Lender takes over from; the change has no effect if another one is on record.
	Before Grantor
	End    bool   // Lender stops granting for good
	Number uint64 // from 1, rising with each change of Lender; 0 with End
	Add    []string
	Remove []string
	Floors []quota.Floor
}

// GrantsOutcome is the result of a GrantsChange.
type GrantsOutcome struct {
	Taken  bool          // the change had effect, or had it before
	Before Grantor       // the grantor before the present one
	Nodes  []string      // nodes that may hold grants
	Floors []quota.Floor // of tenants
}

// grantRecord is the record of who may grant quota, and to whom. It is encoded as a part of a snapshot.
type grantRecord struct {
	Lender Grantor
	Before Grantor
	Number uint64        // of the last change that had effect
	Nodes  []string      // sorted; never changed in place
	Floors []quota.Floor // sorted by tenant, without those of 0 tokens; never changed in place
}

// apply applies a change. Only the grantor on record can change the nodes and floors, and only by a number
// that rises.
func (r *grantRecord) apply(change *GrantsChange) *GrantsOutcome {
	accepted := change.Lender == r.Lender
	switch {
	case change.Begin && !accepted && change.Before == r.Lender:
		r.Lender, r.Before, r.Number = change.Lender, r.Lender, change.Number
		accepted = true
	case change.Begin && accepted:
		r.Number = max(r.Number, change.Number)
	case change.End && accepted:
		r.Lender, r.Before = ReleasedGrantor, r.Lender
	case !change.Begin && accepted && change.Number > r.Number:
		r.Number = change.Number
		r.Nodes = withNodes(r.Nodes, change.Add, change.Remove)
		r.Floors = withFloors(r.Floors, change.Floors)
	case !change.Begin:
		accepted = false
	}
	return &GrantsOutcome{Taken: accepted, Before: r.Before, Nodes: r.Nodes, Floors: r.Floors}
}

// withNodes returns nodes and add, without remove, sorted.
func withNodes(nodes, add, remove []string) []string {
	next := slices.DeleteFunc(slices.Concat(nodes, add), func(node string) bool {
		return slices.Contains(remove, node)
	})
	slices.Sort(next)
	return slices.Compact(next)
}

// withFloors returns floors with those of some tenants replaced by updates. A floor of 0 tokens is left out.
func withFloors(floors, updates []quota.Floor) []quota.Floor {
	if len(updates) == 0 {
		return floors
	}
	tokens := make(map[string]int64, len(floors)+len(updates))
	for _, floor := range slices.Concat(floors, updates) {
		tokens[floor.Tenant] = floor.Tokens
	}
	next := make([]quota.Floor, 0, len(tokens))
	for tenant, count := range tokens {
		if count > 0 {
			next = append(next, quota.Floor{Tenant: tenant, Tokens: count})
		}
	}
	slices.SortFunc(next, func(a, b quota.Floor) int { return strings.Compare(a.Tenant, b.Tenant) })
	return next
}

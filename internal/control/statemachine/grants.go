package statemachine

import (
	"slices"
	"strings"

	"sprucelane.example/sprucelane/internal/quota"
)

// Grantor identifies a process that may grant quota: one incarnation of a control process. The zero value means
// that no process in the system has granted quota yet.
type Grantor struct {
	Member  string // name of the chain member; it identifies one incarnation of a disk
	Process string // incarnation of the process
}

// ReleasedGrantor is recorded as the grantor after the previous grantor has released its role. No process grants
// quota while it is on record.
var ReleasedGrantor = Grantor{Process: "released"}

// GrantsChange changes the grant record. A process is recorded as the grantor (Begin) before it grants any quota;
// from then on changes proposed by the previous grantor have no effect. All changes except End are numbered, so
// that a delayed change neither undoes a later one nor affects a later term of the same grantor.
//
// Add and Remove are nodes to be added to and removed from the record. Floors are the floors to be set; those of other
// tenants are not changed.
type GrantsChange struct {
	Lender Grantor // the grantor that proposes the change
	Begin  bool    // Lender becomes the grantor
	// Before is used with Begin: the grantor that Lender takes over from. The change has no effect if another
	// grantor is on record.
	Before Grantor
	End    bool   // Lender stops granting for good
	Number uint64 // from 1, increasing with each change proposed by Lender; 0 with End
	Add    []string
	Remove []string
	Floors []quota.Floor
}

// GrantsOutcome is the result of a GrantsChange.
type GrantsOutcome struct {
	Taken  bool          // the change took effect, now or earlier
	Before Grantor       // the grantor before the current one
	Nodes  []string      // nodes that may hold grants
	Floors []quota.Floor // floors of the tenants' pools
}

// grantRecord records which process may grant quota, which nodes may hold grants, and the floors of the tenants'
// pools. It is encoded as part of a snapshot.
type grantRecord struct {
	Lender Grantor
	Before Grantor
	Number uint64        // number of the last change that took effect
	Nodes  []string      // sorted; never modified in place
	Floors []quota.Floor // sorted by tenant, without floors of 0 tokens; never modified in place
}

// apply applies a change. Only the grantor on record can change the nodes and floors, and only with a higher
// number than that of its last change.
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

// withNodes returns the nodes in nodes or add that are not in remove, sorted and without duplicates.
func withNodes(nodes, add, remove []string) []string {
	next := slices.DeleteFunc(slices.Concat(nodes, add), func(node string) bool {
		return slices.Contains(remove, node)
	})
	slices.Sort(next)
	return slices.Compact(next)
}

// withFloors returns floors with the floors of the tenants in updates replaced, sorted by tenant. A floor of 0
// tokens in updates removes the tenant's floor.
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

package quota

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// granteeTTL is the time without contact after which a node is to be removed from the record: much longer
// than any lease lasts.
const granteeTTL = 30 * time.Second

// granteeRegistry is the set of nodes that may hold leases, as it is recorded in the control processes'
// replicated state. A node is recorded before it gets its first lease, so that the next allocator knows whom
// to wait for: once a process of each recorded node has reported, nothing is unaccounted and learning ends
// early.
type granteeRegistry struct {
	enabled       bool                     // false: nothing is recorded, and any node may hold leases
	lastContact   map[string]time.Duration // of each recorded node; at first when the term began or the node was recorded
	missing       []string                 // nodes that ask and aren't recorded
	unreconciled  map[string]bool          // nodes recorded at the start of the term that aren't reconciled yet
	allReconciled bool                     // unreconciled became empty
	nextScanAt    time.Duration            // when EvictGrantees looks again
}

// startTerm resets the registry to the recorded nodes, nil where nothing is recorded. It reports whether no
// node can hold a lease.
func (r *granteeRegistry) startTerm(now time.Duration, grantees []string) (mayHoldNone bool) {
	*r = granteeRegistry{enabled: grantees != nil}
	if !r.enabled {
		return false
	}
	r.lastContact = make(map[string]time.Duration, len(grantees))
	r.unreconciled = make(map[string]bool, len(grantees))
	for _, node := range grantees {
		r.lastContact[node] = now
		r.unreconciled[node] = true
	}
	r.allReconciled = len(grantees) == 0
	return r.allReconciled
}

// mayLease reports whether a node may get leases. It notes a node that may not yet as missing from the
// record.
func (r *granteeRegistry) mayLease(node string) bool {
	if !r.enabled {
		return true
	}
	if _, recorded := r.lastContact[node]; recorded {
		return true
	}
	if !slices.Contains(r.missing, node) {
		r.missing = append(r.missing, node)
	}
	return false
}

// noteReconciled notes a node as reconciled once one of its processes has taken a reply of this term: all
// that it holds is counted by name, and processes that ran on its node before it are dead. When all recorded
// nodes are reconciled, learning ends.
func (a *Allocator) noteReconciled(holder *leaseHolder, request *protocol.QuotaRequest) {
	r := &a.grantees
	if !r.enabled {
		return
	}
	if _, recorded := r.lastContact[holder.node]; recorded {
		r.lastContact[holder.node] = a.now
	}
	if r.allReconciled || request.Term != a.term || request.Acked == 0 {
		return
	}
	delete(r.unreconciled, holder.node)
	if r.allReconciled = len(r.unreconciled) == 0; r.allReconciled {
		a.learningUntil = min(a.learningUntil, a.now)
	}
}

// MissingGrantees lists the nodes that ask for tokens and aren't recorded as grantees. The caller records
// them and then calls GranteesRecorded; until then they get tokens and no leases.
func (a *Allocator) MissingGrantees() []string { return slices.Clone(a.grantees.missing) }

// GranteesRecorded tells the allocator that nodes have been recorded as grantees.
func (a *Allocator) GranteesRecorded(nodes []string) {
	r := &a.grantees
	if !r.enabled {
		return
	}
	for _, node := range nodes {
		if _, recorded := r.lastContact[node]; !recorded {
			r.lastContact[node] = a.now
		}
	}
	r.missing = slices.DeleteFunc(r.missing, func(node string) bool { return slices.Contains(nodes, node) })
}

// EvictGrantees lists the nodes without contact for granteeTTL, for the caller to remove from the record.
// They get no leases from now on, whether or not the removal succeeds.
func (a *Allocator) EvictGrantees(now time.Duration) (nodes []string) {
	r := &a.grantees
	if !r.enabled || now < r.nextScanAt {
		return nil
	}
	r.nextScanAt = now + granteeTTL/10
	for node, lastContact := range r.lastContact {
		if now-lastContact > granteeTTL && len(a.holdersByNode[node]) == 0 {
			nodes = append(nodes, node)
			delete(r.lastContact, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

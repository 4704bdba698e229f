package quota

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// granteeTTL is the time without contact after which a node is removed from the record. It is much longer than
// the lifetime of any lease.
const granteeTTL = 30 * time.Second

// granteeRegistry is the set of nodes that may hold leases, as recorded in the replicated state of the control
// processes. A node is recorded before it gets its first lease, so that the next allocator knows which nodes to
// wait for: once a process of each recorded node has reported, nothing is unaccounted and learning ends early.
type granteeRegistry struct {
	enabled       bool                     // false: nothing is recorded, and any node may hold leases
	lastContact   map[string]time.Duration // by recorded node; initially the start of the term or the time of recording
	missing       []string                 // nodes that send requests and aren't recorded
	unreconciled  map[string]bool          // nodes recorded at the start of the term that aren't reconciled yet
	allReconciled bool                     // unreconciled is empty; always false if not enabled
	nextScanAt    time.Duration            // when EvictGrantees scans lastContact again
}

// startTerm resets the registry to the recorded nodes; nil means that nothing is recorded. It reports whether no
// node can hold a lease.
func (r *granteeRegistry) startTerm(now time.Duration, grantees []string) (noneMayHold bool) {
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

// mayLease reports whether a node may get leases. A node that may not yet is added to missing.
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

// markReconciled updates the last contact of a holder's node, and marks the node as reconciled once the holder has
// accepted a reply of this term: the holder's allocations then cover all its leases, and earlier processes of its
// node are dead. Learning ends when all nodes that were recorded at the start of the term are reconciled.
func (a *Allocator) markReconciled(holder *leaseHolder, request *protocol.QuotaRequest) {
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

// MissingGrantees returns the nodes that ask for tokens and aren't recorded as grantees. The caller records them
// and then calls GranteesRecorded; until then they get tokens but no leases.
func (a *Allocator) MissingGrantees() []string { return slices.Clone(a.grantees.missing) }

// GranteesRecorded informs the allocator that nodes have been recorded as grantees.
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

// EvictGrantees returns the nodes without contact for granteeTTL, for the caller to remove from the record. They
// get no leases from now on, whether or not the removal succeeds.
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

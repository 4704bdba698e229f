package quota

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// forgetAfter is how long a node on record is silent before it is to be taken off: much longer than any lease lasts.
const granteeTTL = 30 * time.Second

// record is the set of nodes to which anything may be lent, as the processes of control have agreed on it.
type granteeRegistry struct {
	enabled       bool                     // else everybody may be lent to, and nobody is known to be all
	lastContact   map[string]time.Duration // by when they were heard last in this term, or began to be on record
	missing       []string                 // asked for and not on record
	unreconciled  map[string]bool          // on record as the term began; no process of theirs has told what it holds
	allReconciled bool
	beganAt       time.Duration
	nextScanAt    time.Duration
}

// begin starts a term and tells whether nobody can hold anything.
func (r *granteeRegistry) startTerm(now time.Duration, grantees []string) (mayHoldNone bool) {
	*r = granteeRegistry{enabled: grantees != nil, beganAt: now}
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

// lendsTo tells whether a node may be lent to, and remembers that it should be where it may not.
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

// noteTold takes in that a process has taken a reply of this term: all that it holds is counted by name, and processes that ran
// on its node before it are dead.
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

// Unrecorded gives the nodes that ask and aren't on record. Once they are, Recorded is to be called.
func (a *Allocator) MissingGrantees() []string { return slices.Clone(a.grantees.missing) }

// Recorded takes in that nodes have been put on record.
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

// Forget gives nodes that were silent for so long that they are to be taken off the record. Nothing is lent to them from now on.
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

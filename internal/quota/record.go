package quota

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// forgetAfter is how long a node on record is silent before it is to be taken off: much longer than any lease lasts.
const forgetAfter = 30 * time.Second

// record is the set of nodes to which anything may be lent, as the processes of control have agreed on it.
type record struct {
	kept     bool                     // else everybody may be lent to, and nobody is known to be all
	nodes    map[string]time.Duration // by when they were heard last in this term, or began to be on record
	wanted   []string                 // asked for and not on record
	untold   map[string]bool          // on record as the term began; no process of theirs has told what it holds
	allTold  bool
	beganAt  time.Duration
	nextScan time.Duration
}

// begin starts a term and tells whether nobody can hold anything.
func (r *record) begin(now time.Duration, nodes []string) (nobody bool) {
	*r = record{kept: nodes != nil, beganAt: now}
	if !r.kept {
		return false
	}
	r.nodes = make(map[string]time.Duration, len(nodes))
	r.untold = make(map[string]bool, len(nodes))
	for _, node := range nodes {
		r.nodes[node] = now
		r.untold[node] = true
	}
	r.allTold = len(nodes) == 0
	return r.allTold
}

// lendsTo tells whether a node may be lent to, and remembers that it should be where it may not.
func (r *record) lendsTo(node string) bool {
	if !r.kept {
		return true
	}
	if _, recorded := r.nodes[node]; recorded {
		return true
	}
	if !slices.Contains(r.wanted, node) {
		r.wanted = append(r.wanted, node)
	}
	return false
}

// noteTold takes in that a process has taken a reply of this term: all that it holds is counted by name, and processes that ran
// on its node before it are dead.
func (a *Allocator) noteTold(h *holder, request *protocol.QuotaRequest) {
	r := &a.record
	if !r.kept {
		return
	}
	if _, recorded := r.nodes[h.node]; recorded {
		r.nodes[h.node] = a.now
	}
	if r.allTold || request.Term != a.term || request.Acked == 0 {
		return
	}
	delete(r.untold, h.node)
	if r.allTold = len(r.untold) == 0; r.allTold {
		a.unknownUntil = min(a.unknownUntil, a.now)
	}
}

// Unrecorded gives the nodes that ask and aren't on record. Once they are, Recorded is to be called.
func (a *Allocator) Unrecorded() []string { return slices.Clone(a.record.wanted) }

// Recorded takes in that nodes have been put on record.
func (a *Allocator) Recorded(nodes []string) {
	r := &a.record
	if !r.kept {
		return
	}
	for _, node := range nodes {
		if _, recorded := r.nodes[node]; !recorded {
			r.nodes[node] = a.now
		}
	}
	r.wanted = slices.DeleteFunc(r.wanted, func(node string) bool { return slices.Contains(nodes, node) })
}

// Forget gives nodes that were silent for so long that they are to be taken off the record. Nothing is lent to them from now on.
func (a *Allocator) Forget(now time.Duration) (nodes []string) {
	r := &a.record
	if !r.kept || now < r.nextScan {
		return nil
	}
	r.nextScan = now + forgetAfter/10
	for node, heard := range r.nodes {
		if now-heard > forgetAfter && len(a.byNode[node]) == 0 {
			nodes = append(nodes, node)
			delete(r.nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

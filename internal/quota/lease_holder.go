package quota

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// leaseHolder is a gateway process that may hold leases.
type leaseHolder struct {
	processID    string
	node         string
	lastSequence uint64        // sequence of its newest request
	lastContact  time.Duration // when its newest request was received
	rebalancedAt time.Duration
	reconciled   bool // allocations cover all its leases: it has reported them, or has only leases of this term

	// Invariant: allocations and ordered have the same elements. The fixed order makes simulations reproducible.
	allocations map[*tenantQuota]*allocation
	ordered     []*allocation

	unacked        []*allocation // contains every allocation whose unackedSequence isn't 0
	contactElement *list.Element // this holder in Allocator.byLastContact
}

// allocation is one holder's part of one tenant's quota.
//
// Invariant: the lease that the holder spends from is at most outstanding, whichever of the replies sent to it
// the holder has accepted.
type allocation struct {
	quota           *tenantQuota
	demand          amount // per second, as reported
	outstanding     lease  // upper bound of the lease that the holder may have
	offered         lease  // the lease in the newest reply with a change
	unackedSequence uint64 // the newest request whose reply carried the offer; 0: the offer is acknowledged
	sentSequence    uint64 // the newest request whose reply contains the allocation
}

// processID returns the identifier of one incarnation of a gateway's process.
func processID(p *protocol.Process) string { return p.Node + "/" + p.Incarnation }

// holderFor returns the holder for the process that sent a request, and adds it if it is new. It returns nil for
// a process that is known to have ended.
func (a *Allocator) holderFor(request *protocol.QuotaRequest) *leaseHolder {
	id := processID(&request.Process)
	if _, ended := a.deadProcesses[id]; ended {
		return nil
	}
	holder := a.holders[id]
	if holder == nil {
		holder = &leaseHolder{processID: id, node: request.Process.Node, allocations: map[*tenantQuota]*allocation{}}
		a.holders[id] = holder
		a.holdersByNode[holder.node] = append(a.holdersByNode[holder.node], holder)
		holder.contactElement = a.byLastContact.PushBack(holder)
	}
	return holder
}

// recordContact records that a request of the holder has been received now.
func (a *Allocator) recordContact(holder *leaseHolder) {
	holder.lastContact = a.now
	a.byLastContact.MoveToBack(holder.contactElement)
}

// endPredecessors removes the holders that ran on the requester's node before it. A node runs one process at a
// time, and a process that accepted the reply to its previous request was running after that request was received
// here: any other process of the node whose last contact was before that moment is dead. A first request proves
// nothing: a dead process may have sent it, and the network delayed it.
func (a *Allocator) endPredecessors(holder *leaseHolder, request *protocol.QuotaRequest) {
	others := a.holdersByNode[holder.node]
	if len(others) == 1 || request.Term != a.term || request.Acked != holder.lastSequence || holder.lastSequence == 0 {
		return
	}
	for _, other := range slices.Clone(others) {
		if other != holder && other.lastContact <= holder.lastContact {
			a.deadProcesses[other.processID] = a.now
			a.endHolder(other)
		}
	}
}

// expireHolders removes the holders whose leases have expired by the holders' own clocks: a holder's leases end
// leaseTTL after it sent a request, which was before its last contact here. It also deletes old tombstones.
func (a *Allocator) expireHolders() {
	for front := a.byLastContact.Front(); front != nil; front = a.byLastContact.Front() {
		holder := front.Value.(*leaseHolder)
		if a.now-holder.lastContact <= leaseTTL+clockDriftMargin {
			break
		}
		a.endHolder(holder)
	}
	if a.now-a.tombstonesSweptAt > tombstoneTTL {
		a.tombstonesSweptAt = a.now
		for id, endedAt := range a.deadProcesses {
			if a.now-endedAt > tombstoneTTL {
				delete(a.deadProcesses, id)
			}
		}
	}
}

// endHolder frees all leases of a holder and removes it.
func (a *Allocator) endHolder(holder *leaseHolder) {
	for _, alloc := range holder.ordered {
		a.refill(alloc.quota)
		alloc.setOutstanding(lease{})
		alloc.setDemand(0)
	}
	a.byLastContact.Remove(holder.contactElement)
	delete(a.holders, holder.processID)
	remaining := slices.DeleteFunc(a.holdersByNode[holder.node], func(other *leaseHolder) bool { return other == holder })
	if len(remaining) == 0 {
		delete(a.holdersByNode, holder.node)
		return
	}
	a.holdersByNode[holder.node] = remaining
}

// allocationFor returns the holder's allocation of a quota, and adds it if it is new.
func (h *leaseHolder) allocationFor(q *tenantQuota) *allocation {
	alloc := h.allocations[q]
	if alloc == nil {
		alloc = &allocation{quota: q}
		h.allocations[q] = alloc
		h.ordered = append(h.ordered, alloc)
	}
	return alloc
}

// idle reports whether an allocation can be removed.
func (p *allocation) idle() bool {
	return p.demand == 0 && p.outstanding.isZero() && p.unackedSequence == 0
}

// setDemand sets the allocation's demand and updates the quota's summed demand.
func (p *allocation) setDemand(demand amount) {
	p.quota.demand += demand - p.demand
	p.demand = demand
}

// setOutstanding sets the outstanding lease and updates the quota's sums. The pool must have been refilled up to
// now before.
func (p *allocation) setOutstanding(l lease) {
	q := p.quota
	q.outstanding = q.outstanding.plus(l).minus(p.outstanding)
	if !p.outstanding.isZero() {
		q.leaseCount--
	}
	if !l.isZero() {
		q.leaseCount++
	}
	p.outstanding = l
	if q.outstanding.rate < 0 || q.outstanding.depth < 0 {
		panic(fmt.Sprintf("quota: tenant %s has a negative sum of outstanding leases: %v", q.name, q.outstanding))
	}
}

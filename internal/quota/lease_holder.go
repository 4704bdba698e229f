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
	lastSequence uint64        // of its newest request
	lastContact  time.Duration // when that was received
	rebalancedAt time.Duration
	reconciled   bool // all that it holds is counted by name: it has reported its leases, or has only leases of this term

	// Invariant: allocations and ordered have the same elements. The order makes runs reproducible.
	allocations map[*tenantQuota]*allocation
	ordered     []*allocation

	unacked        []*allocation // contains every allocation whose unackedSequence isn't 0
	contactElement *list.Element // of Allocator.byLastContact
}

// allocation is one holder's part of one tenant's quota.
//
// Invariant: the holder spends by a lease that is at most outstanding, whichever of the replies that were
// sent it has taken.
type allocation struct {
	quota           *tenantQuota
	demand          amount // per second, as reported
	outstanding     lease  // the most that the holder may have
	offered         lease  // what the newest reply with a change gave it
	unackedSequence uint64 // newest request whose reply carried the offer; 0: the offer is acknowledged
	sentSequence    uint64 // newest request whose reply contains the allocation
}

// processID identifies one run of a gateway's process.
func processID(p *protocol.Process) string { return p.Node + "/" + p.Incarnation }

// holderFor finds or adds the process that sent a request. It returns nil for one that is known to have
// ended.
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

// recordContact notes that a request of the holder is being answered.
func (a *Allocator) recordContact(holder *leaseHolder) {
	holder.lastContact = a.now
	a.byLastContact.MoveToBack(holder.contactElement)
}

// endPredecessors ends the processes that ran on the requester's node before it. A node runs one process at a
// time, and a process that took the reply to its previous request ran after that request was received here:
// any other process of the node whose last contact was before that moment is dead. A first request proves
// nothing: it may be a dead process's, delayed in the network.
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

// expireHolders ends the holders whose leases have expired by their own clocks: a holder's leases end
// leaseTTL after it sent a request, which was before its last contact here. It also forgets old tombstones.
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
	for _, part := range holder.ordered {
		a.refill(part.quota)
		part.setOutstanding(lease{})
		part.setDemand(0)
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

// allocationFor finds or adds the holder's allocation of a quota.
func (h *leaseHolder) allocationFor(q *tenantQuota) *allocation {
	part := h.allocations[q]
	if part == nil {
		part = &allocation{quota: q}
		h.allocations[q] = part
		h.ordered = append(h.ordered, part)
	}
	return part
}

// idle reports whether an allocation can be forgotten.
func (p *allocation) idle() bool {
	return p.demand == 0 && p.outstanding.isZero() && p.unackedSequence == 0
}

// setDemand keeps the quota's summed demand up to date.
func (p *allocation) setDemand(demand amount) {
	p.quota.demand += demand - p.demand
	p.demand = demand
}

// setOutstanding keeps the quota's sums up to date. The pool must have been refilled up to now before.
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

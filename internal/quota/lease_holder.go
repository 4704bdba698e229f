package quota

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// The figures by which leases follow demand.
const (
	leaseHeadroom       = 1.25        // of a gateway's demand
	minLeaseRate        = token / 100 // below which none is lent
	lowDemand           = token / 2   // a lease for less rests most of the time
	lowDemandHeadroom   = 0.6         // of such demand
	emptyPoolHeadroom   = 0.6         // of other demand, with the pool empty
	fullHeadroomShare   = 0.6         // of the pool's depth, from which on headrooms are full
	lowDemandDepthShare = 0.6         // of the depth that may be lent: up to it thin leases are
	minLeaseChange      = 0.1         // share by which an offer must differ from the last to be made
	roundingTolerance   = token / 100 // by which leases that were told may pass the sum they are part of
	maxDepthSeconds     = 2           // seconds of its rate that a lease holds at most, beside the first token
)

// holder is a process that may hold leases.
type leaseHolder struct {
	processID      string
	node           string
	lastSequence   uint64 // of its last request
	lastContact    time.Duration
	rebalancedAt   time.Duration
	reconciled     bool // its leases are of this term, or it has told them
	allocations    map[*tenantQuota]*allocation
	ordered        []*allocation // the same, as they came
	unacked        []*allocation // offered what isn't acknowledged
	contactElement *list.Element
}

// entry is a holder's part of an account.
type allocation struct {
	quota           *tenantQuota
	demand          amount
	outstanding     lease  // the most that the holder may spend by
	offered         lease  // what it was told last
	unackedSequence uint64 // sequence of the newest request whose reply told it, 0: acknowledged
	sentSequence    uint64 // sequence of the newest request whose reply has the entry
}

func processID(p *protocol.Process) string { return p.Node + "/" + p.Incarnation }

// holderOf finds or makes the record of an asker; nil where it is known to have ended.
func (a *Allocator) holderFor(request *protocol.QuotaRequest) *leaseHolder {
	name := processID(&request.Process)
	if _, ended := a.deadProcesses[name]; ended {
		return nil
	}
	holder := a.holders[name]
	if holder == nil {
		holder = &leaseHolder{processID: name, node: request.Process.Node, allocations: map[*tenantQuota]*allocation{}}
		a.holders[name] = holder
		a.holdersByNode[holder.node] = append(a.holdersByNode[holder.node], holder)
		holder.contactElement = a.byLastContact.PushBack(holder)
	}
	return holder
}

// endEarlier ends the processes that ran on the asker's node before it. That it took the reply to its last request shows that it
// ran later than that was heard; whoever was heard on the node before that moment is dead, as a node runs one process at a time.
// A first request shows nothing: it may be a dead process's, held up on its way.
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

// meet takes in what an asker holds that this term hasn't lent. It tells whether that is known.
func (a *Allocator) reconcile(holder *leaseHolder, request *protocol.QuotaRequest) bool {
	switch {
	case request.Whole:
		a.adoptReported(holder, request)
	case request.Term == 0: // it holds nothing
	case request.Term != a.term || !holder.reconciled:
		return false
	}
	holder.reconciled = true
	return true
}

// takeHeld takes in all leases that an asker has. What it was told beyond them stays in force until it acknowledges a reply.
func (a *Allocator) adoptReported(holder *leaseHolder, request *protocol.QuotaRequest) {
	for _, part := range holder.ordered {
		part.setOffered(holder, lease{})
	}
	for i := range request.Demands {
		demand := &request.Demands[i]
		q := a.tenants[demand.Tenant]
		held := leaseFromMessage(demand.Held)
		if q == nil || !q.limited || held.isZero() {
			continue
		}
		a.refill(q)
		if !holder.reconciled && request.Term != a.term {
			q.unaccounted = q.unaccounted.minus(held).max(lease{})
		}
		part := holder.allocationFor(q)
		part.setOutstanding(part.outstanding.max(held))
		part.setOffered(holder, held)
	}
}

// setOffered notes what a holder has once it acknowledges the reply to its last request.
func (p *allocation) setOffered(holder *leaseHolder, l lease) {
	p.offered = l
	if p.outstanding != l && p.unackedSequence == 0 {
		holder.unacked = append(holder.unacked, p)
	}
	if p.outstanding != l || p.unackedSequence != 0 {
		p.unackedSequence = holder.lastSequence
	}
}

// acknowledge takes in which replies the asker has taken: what they told is all that it may hold.
func (a *Allocator) acknowledge(holder *leaseHolder, request *protocol.QuotaRequest) {
	if request.Term != a.term {
		return
	}
	kept := holder.unacked[:0]
	for _, part := range holder.unacked {
		switch {
		case part.unackedSequence == 0:
		case request.Acked >= part.unackedSequence:
			a.refill(part.quota)
			part.unackedSequence = 0
			part.setOutstanding(part.offered)
		default:
			kept = append(kept, part)
		}
	}
	clear(holder.unacked[len(kept):])
	holder.unacked = kept
}

// hear moves a holder to the end of the silent ones.
func (a *Allocator) recordContact(holder *leaseHolder) {
	holder.lastContact = a.now
	a.byLastContact.MoveToBack(holder.contactElement)
}

// endSilent frees the leases of holders that were silent for longer than these last.
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
		for name, at := range a.deadProcesses {
			if a.now-at > tombstoneTTL {
				delete(a.deadProcesses, name)
			}
		}
	}
}

// end frees all that a holder has.
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

func (h *leaseHolder) allocationFor(q *tenantQuota) *allocation {
	part := h.allocations[q]
	if part == nil {
		part = &allocation{quota: q}
		h.allocations[q] = part
		h.ordered = append(h.ordered, part)
	}
	return part
}

// idle tells whether nothing hangs on an entry.
func (p *allocation) idle() bool {
	return p.demand == 0 && p.outstanding.isZero() && p.unackedSequence == 0
}

func (p *allocation) setDemand(demand amount) {
	p.quota.demand += demand - p.demand
	p.demand = demand
}

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
		panic(fmt.Sprintf("quota: tenant %s has lent %v", q.name, q.outstanding))
	}
}

// sweep weighs all leases of a holder again.
func (a *Allocator) rebalance(holder *leaseHolder) {
	holder.rebalancedAt = a.now
	kept := holder.ordered[:0]
	for _, part := range holder.ordered {
		if part.idle() {
			delete(holder.allocations, part.quota)
			continue
		}
		kept = append(kept, part)
		if part.sentSequence != holder.lastSequence {
			a.refill(part.quota)
			a.offerLease(holder, part)
		}
	}
	clear(holder.ordered[len(kept):])
	holder.ordered = kept
}

// tellPending adds the offers that aren't acknowledged to those told in this reply: the replies that told them may be lost.
func (h *leaseHolder) appendUnacked(grants []protocol.QuotaGrant) []protocol.QuotaGrant {
	for _, part := range h.unacked {
		if part.unackedSequence == 0 || part.sentSequence == h.lastSequence {
			continue
		}
		part.unackedSequence, part.sentSequence = h.lastSequence, h.lastSequence
		grants = append(grants, protocol.QuotaGrant{Tenant: part.quota.name, Change: true, Lease: part.offered.toMessage()})
	}
	return grants
}

// offer gives a holder the lease that its demand deserves and the account has room for, where that differs from what it has.
func (a *Allocator) offerLease(holder *leaseHolder, part *allocation) {
	q := part.quota
	next := q.fairShare(part)
	if !a.grantees.mayLease(holder.node) {
		next = lease{}
	}
	others := q.outstanding.minus(part.outstanding).plus(q.unaccounted)
	next.rate = min(next.rate, q.budget.maxLeasedRate-others.rate)
	next.depth = min(next.depth, q.maxLeasedDepthFor(part.demand)-others.depth, q.budget.depth-q.floor.bound()-others.depth)
	if next.rate < minLeaseRate || next.depth < tokens(minLeaseDepth) {
		next = lease{}
	}
	if next == part.offered || !q.overcommitted() && next.similar(part.offered) {
		return
	}
	part.setOutstanding(part.outstanding.max(next))
	part.setOffered(holder, next)
	if part.unackedSequence == 0 { // a raise: it is told, and told again until it was taken
		part.unackedSequence = holder.lastSequence
		holder.unacked = append(holder.unacked, part)
	}
}

// deserved is the lease that a holder's share of the demand is worth, whoever has what.
func (q *tenantQuota) fairShare(part *allocation) lease {
	if part.demand <= 0 || !q.limited || q.removed || q.budget.maxLeasedRate <= 0 {
		return lease{}
	}
	share := part.demand.float() / max(q.demand, part.demand).float()
	fullness := q.poolFullness()
	headroom := emptyPoolHeadroom + (leaseHeadroom-emptyPoolHeadroom)*fullness
	if part.demand < lowDemand {
		headroom = lowDemandHeadroom * fullness
	}
	rate := min(share*q.budget.maxLeasedRate.float(), headroom*part.demand.float())
	holders := q.leaseCount
	if part.outstanding.isZero() {
		holders++
	}
	spare := max(0, q.budget.maxLeasedDepth.float()-float64(holders)*minLeaseDepth)
	depth := minLeaseDepth + min(spare*rate/q.budget.maxLeasedRate.float(), maxDepthSeconds*rate)
	return lease{tokens(rate), tokens(depth)}
}

// ease is 1 while the pool is well filled and falls to 0 as it empties. What flows into a full lease is lost, so less is lent.
func (q *tenantQuota) poolFullness() float64 {
	return min(1, max(0, q.pool.level.float())/(fullHeadroomShare*max(token, q.poolDepth()).float()))
}

// maxLentFor bounds the summed depth when a lease for a demand is lent: thin ones, which mostly rest, leave more to the pool.
func (q *tenantQuota) maxLeasedDepthFor(demand amount) amount {
	if demand < lowDemand {
		return amount(lowDemandDepthShare * float64(q.budget.maxLeasedDepth))
	}
	return q.budget.maxLeasedDepth
}

// overLent tells whether more is lent than the limit in force allows, beyond what rounding adds.
func (q *tenantQuota) overcommitted() bool {
	total := q.outstanding.plus(q.unaccounted)
	return total.rate > q.budget.maxLeasedRate+roundingTolerance || total.depth > q.budget.maxLeasedDepth+roundingTolerance
}

// like tells whether two leases differ too little to change one for the other.
func (l lease) similar(other lease) bool {
	return l.isZero() == other.isZero() && near(l.rate, other.rate) && near(l.depth, other.depth)
}

func near(a, b amount) bool {
	difference := max(a-b, b-a)
	return difference.float() <= minLeaseChange*b.float()
}

func (l lease) toMessage() protocol.QuotaLease {
	return protocol.QuotaLease{Rate: l.rate.float(), Depth: l.depth.float()}
}

// leaseOf reads a lease; what another process told in floating point is rounded up, so that it is never counted short.
func leaseFromMessage(m protocol.QuotaLease) lease {
	if m.Rate <= 0 && m.Depth <= 0 {
		return lease{}
	}
	return lease{tokens(m.Rate) + 1, tokens(m.Depth) + 1}
}

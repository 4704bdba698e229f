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
	leaseHeadroom   = 1.25        // of a gateway's demand
	leastLeaseRate  = token / 100 // below which none is lent
	thinDemand      = token / 2   // a lease for less rests most of the time
	thinHeadroom    = 0.6         // of such demand
	tightHeadroom   = 0.6         // of other demand, with the pool empty
	easyShare       = 0.6         // of the pool's depth, from which on headrooms are full
	thinShare       = 0.6         // of the depth that may be lent: up to it thin leases are
	leaseChange     = 0.1         // share by which an offer must differ from the last to be made
	rounding        = token / 100 // by which leases that were told may pass the sum they are part of
	longestInBucket = 2           // seconds of its rate that a lease holds at most, beside the first token
)

// holder is a process that may hold leases.
type holder struct {
	process  string
	node     string
	sequence uint64 // of its last request
	heardAt  time.Duration
	swept    time.Duration
	known    bool // its leases are of this term, or it has told them
	entries  map[*account]*entry
	order    []*entry // the same, as they came
	pending  []*entry // offered what isn't acknowledged
	place    *list.Element
}

// entry is a holder's part of an account.
type entry struct {
	account   *account
	demand    amount
	inForce   lease  // the most that the holder may spend by
	offered   lease  // what it was told last
	pendingAt uint64 // sequence of the newest request whose reply told it, 0: acknowledged
	toldAt    uint64 // sequence of the newest request whose reply has the entry
}

func processName(p *protocol.Process) string { return p.Node + "/" + p.Incarnation }

// holderOf finds or makes the record of an asker; nil where it is known to have ended.
func (a *Allocator) holderOf(request *protocol.QuotaRequest) *holder {
	name := processName(&request.Process)
	if _, ended := a.dead[name]; ended {
		return nil
	}
	h := a.holders[name]
	if h == nil {
		h = &holder{process: name, node: request.Process.Node, entries: map[*account]*entry{}}
		a.holders[name] = h
		a.byNode[h.node] = append(a.byNode[h.node], h)
		h.place = a.heard.PushBack(h)
	}
	return h
}

// endEarlier ends the processes that ran on the asker's node before it. That it took the reply to its last request shows that it
// ran later than that was heard; whoever was heard on the node before that moment is dead, as a node runs one process at a time.
// A first request shows nothing: it may be a dead process's, held up on its way.
func (a *Allocator) endEarlier(h *holder, request *protocol.QuotaRequest) {
	others := a.byNode[h.node]
	if len(others) == 1 || request.Term != a.term || request.Acked != h.sequence || h.sequence == 0 {
		return
	}
	for _, other := range slices.Clone(others) {
		if other != h && other.heardAt <= h.heardAt {
			a.dead[other.process] = a.now
			a.end(other)
		}
	}
}

// meet takes in what an asker holds that this term hasn't lent. It tells whether that is known.
func (a *Allocator) meet(h *holder, request *protocol.QuotaRequest) bool {
	switch {
	case request.Whole:
		a.takeHeld(h, request)
	case request.Term == 0: // it holds nothing
	case request.Term != a.term || !h.known:
		return false
	}
	h.known = true
	return true
}

// takeHeld takes in all leases that an asker has. What it was told beyond them stays in force until it acknowledges a reply.
func (a *Allocator) takeHeld(h *holder, request *protocol.QuotaRequest) {
	for _, e := range h.order {
		e.setOffered(h, lease{})
	}
	for i := range request.Demands {
		demand := &request.Demands[i]
		one := a.accounts[demand.Tenant]
		held := leaseOf(demand.Held)
		if one == nil || !one.limited || held.none() {
			continue
		}
		a.refill(one)
		if !h.known && request.Term != a.term {
			one.unknown = one.unknown.minus(held).most(lease{})
		}
		e := h.entryOf(one)
		e.setInForce(e.inForce.most(held))
		e.setOffered(h, held)
	}
}

// setOffered notes what a holder has once it acknowledges the reply to its last request.
func (e *entry) setOffered(h *holder, l lease) {
	e.offered = l
	if e.inForce != l && e.pendingAt == 0 {
		h.pending = append(h.pending, e)
	}
	if e.inForce != l || e.pendingAt != 0 {
		e.pendingAt = h.sequence
	}
}

// acknowledge takes in which replies the asker has taken: what they told is all that it may hold.
func (a *Allocator) acknowledge(h *holder, request *protocol.QuotaRequest) {
	if request.Term != a.term {
		return
	}
	kept := h.pending[:0]
	for _, e := range h.pending {
		switch {
		case e.pendingAt == 0:
		case request.Acked >= e.pendingAt:
			a.refill(e.account)
			e.pendingAt = 0
			e.setInForce(e.offered)
		default:
			kept = append(kept, e)
		}
	}
	clear(h.pending[len(kept):])
	h.pending = kept
}

// hear moves a holder to the end of the silent ones.
func (a *Allocator) hear(h *holder) {
	h.heardAt = a.now
	a.heard.MoveToBack(h.place)
}

// endSilent frees the leases of holders that were silent for longer than these last.
func (a *Allocator) endSilent() {
	for front := a.heard.Front(); front != nil; front = a.heard.Front() {
		h := front.Value.(*holder)
		if a.now-h.heardAt <= leaseFor+clockMargin {
			break
		}
		a.end(h)
	}
	if a.now-a.deadSwept > rememberDropped {
		a.deadSwept = a.now
		for name, at := range a.dead {
			if a.now-at > rememberDropped {
				delete(a.dead, name)
			}
		}
	}
}

// end frees all that a holder has.
func (a *Allocator) end(h *holder) {
	for _, e := range h.order {
		a.refill(e.account)
		e.setInForce(lease{})
		e.setDemand(0)
	}
	a.heard.Remove(h.place)
	delete(a.holders, h.process)
	left := slices.DeleteFunc(a.byNode[h.node], func(other *holder) bool { return other == h })
	if len(left) == 0 {
		delete(a.byNode, h.node)
		return
	}
	a.byNode[h.node] = left
}

func (h *holder) entryOf(one *account) *entry {
	e := h.entries[one]
	if e == nil {
		e = &entry{account: one}
		h.entries[one] = e
		h.order = append(h.order, e)
	}
	return e
}

// idle tells whether nothing hangs on an entry.
func (e *entry) idle() bool { return e.demand == 0 && e.inForce.none() && e.pendingAt == 0 }

func (e *entry) setDemand(demand amount) {
	e.account.demand += demand - e.demand
	e.demand = demand
}

func (e *entry) setInForce(l lease) {
	one := e.account
	one.lent = one.lent.plus(l).minus(e.inForce)
	if !e.inForce.none() {
		one.leases--
	}
	if !l.none() {
		one.leases++
	}
	e.inForce = l
	if one.lent.rate < 0 || one.lent.depth < 0 {
		panic(fmt.Sprintf("quota: tenant %s has lent %v", one.tenant, one.lent))
	}
}

// sweep weighs all leases of a holder again.
func (a *Allocator) sweep(h *holder) {
	h.swept = a.now
	kept := h.order[:0]
	for _, e := range h.order {
		if e.idle() {
			delete(h.entries, e.account)
			continue
		}
		kept = append(kept, e)
		if e.toldAt != h.sequence {
			a.refill(e.account)
			a.offer(h, e)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
}

// tellPending adds the offers that aren't acknowledged to those told in this reply: the replies that told them may be lost.
func (h *holder) tellPending(grants []protocol.QuotaGrant) []protocol.QuotaGrant {
	for _, e := range h.pending {
		if e.pendingAt == 0 || e.toldAt == h.sequence {
			continue
		}
		e.pendingAt, e.toldAt = h.sequence, h.sequence
		grants = append(grants, protocol.QuotaGrant{Tenant: e.account.tenant, Change: true, Lease: e.offered.message()})
	}
	return grants
}

// offer gives a holder the lease that its demand deserves and the account has room for, where that differs from what it has.
func (a *Allocator) offer(h *holder, e *entry) {
	one := e.account
	next := one.deserved(e)
	if !a.record.lendsTo(h.node) {
		next = lease{}
	}
	others := one.lent.minus(e.inForce).plus(one.unknown)
	next.rate = min(next.rate, one.budget.maxLentRate-others.rate)
	next.depth = min(next.depth, one.maxLentFor(e.demand)-others.depth, one.budget.depth-one.floor.least()-others.depth)
	if next.rate < leastLeaseRate || next.depth < tokens(leastDepth) {
		next = lease{}
	}
	if next == e.offered || !one.overLent() && next.like(e.offered) {
		return
	}
	e.setInForce(e.inForce.most(next))
	e.setOffered(h, next)
	if e.pendingAt == 0 { // a raise: it is told, and told again until it was taken
		e.pendingAt = h.sequence
		h.pending = append(h.pending, e)
	}
}

// deserved is the lease that a holder's share of the demand is worth, whoever has what.
func (one *account) deserved(e *entry) lease {
	if e.demand <= 0 || !one.limited || one.dropped || one.budget.maxLentRate <= 0 {
		return lease{}
	}
	share := e.demand.float() / max(one.demand, e.demand).float()
	ease := one.ease()
	headroom := tightHeadroom + (leaseHeadroom-tightHeadroom)*ease
	if e.demand < thinDemand {
		headroom = thinHeadroom * ease
	}
	rate := min(share*one.budget.maxLentRate.float(), headroom*e.demand.float())
	holders := one.leases
	if e.inForce.none() {
		holders++
	}
	spare := max(0, one.budget.maxLent.float()-float64(holders)*leastDepth)
	depth := leastDepth + min(spare*rate/one.budget.maxLentRate.float(), longestInBucket*rate)
	return lease{tokens(rate), tokens(depth)}
}

// ease is 1 while the pool is well filled and falls to 0 as it empties. What flows into a full lease is lost, so less is lent.
func (one *account) ease() float64 {
	return min(1, max(0, one.pool.level.float())/(easyShare*max(token, one.poolDepth()).float()))
}

// maxLentFor bounds the summed depth when a lease for a demand is lent: thin ones, which mostly rest, leave more to the pool.
func (one *account) maxLentFor(demand amount) amount {
	if demand < thinDemand {
		return amount(thinShare * float64(one.budget.maxLent))
	}
	return one.budget.maxLent
}

// overLent tells whether more is lent than the limit in force allows, beyond what rounding adds.
func (one *account) overLent() bool {
	all := one.lent.plus(one.unknown)
	return all.rate > one.budget.maxLentRate+rounding || all.depth > one.budget.maxLent+rounding
}

// like tells whether two leases differ too little to change one for the other.
func (l lease) like(other lease) bool {
	return l.none() == other.none() && near(l.rate, other.rate) && near(l.depth, other.depth)
}

func near(a, b amount) bool {
	difference := max(a-b, b-a)
	return difference.float() <= leaseChange*b.float()
}

func (l lease) message() protocol.QuotaLease {
	return protocol.QuotaLease{Rate: l.rate.float(), Depth: l.depth.float()}
}

// leaseOf reads a lease; what another process told in floating point is rounded up, so that it is never counted short.
func leaseOf(m protocol.QuotaLease) lease {
	if m.Rate <= 0 && m.Depth <= 0 {
		return lease{}
	}
	return lease{tokens(m.Rate) + 1, tokens(m.Depth) + 1}
}

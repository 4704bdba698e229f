package quota

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// auditor judges from outside: by what runs, what is on the wire and the machines' true clocks.
type invariantChecker struct {
	sim     *simulation
	ran     map[string][]time.Duration
	worst   float64 // of the share of the bound that was used
	worstAt string

	terms map[uint64]*activeSpan
}

// span is the time over which an allocator acted.
type activeSpan struct{ from, to time.Duration }

func newInvariantChecker(sim *simulation) invariantChecker {
	return invariantChecker{sim: sim, ran: map[string][]time.Duration{}, terms: map[uint64]*activeSpan{}}
}

// answered takes in that an allocator answered as of a moment: no two act at the same time. The answer may be made
// later.
func (a *invariantChecker) answered(at time.Duration, term uint64) {
	if term == 0 || a.sim.windowsOnly {
		return
	}
	active := a.terms[term]
	if active == nil {
		active = &activeSpan{at, at}
		a.terms[term] = active
	} else if at >= active.from && at <= active.to {
		return
	}
	active.from, active.to = min(active.from, at), max(active.to, at)
	for other, span := range a.terms {
		if other != term && active.from < span.to && span.from < active.to {
			panic(fmt.Sprintf("two allocators act: one from %v to %v, one from %v to %v", active.from, active.to, span.from, span.to))
		}
	}
}

// run counts a request that a server runs and checks the rule. It counts as of the decision, which lies between the
// client's sending and the arrival at a server: a window of the rule holds no more.
func (sim *simulation) recordRun(name string, g *simGateway) {
	count := sim.counts[name]
	count.served++
	if sim.overload[name] <= 1 && g.connectedSince <= sim.now {
		count.expected++
	}
	a := &sim.checker
	ran := append(a.ran[name], sim.now)
	for len(ran) > 0 && ran[0] < sim.now-testRules.Window {
		ran = ran[1:]
	}
	a.ran[name] = ran
	most := sim.maxInWindow(name)
	if used := float64(len(ran)) / most; used > a.worst {
		a.worst, a.worstAt = used, fmt.Sprintf("%s at %v: %d of %.1f", name, sim.now, len(ran), most)
	}
	if float64(len(ran)) > most {
		panic(fmt.Sprintf("tenant %s ran %d in a window that allows %.1f, at %v", name, len(ran), most, sim.now))
	}
}

// most is the bound of the largest limit that may still bind.
func (sim *simulation) maxInWindow(name string) float64 {
	most := 0.0
	list := sim.limits[name]
	for i, one := range list {
		if i+1 < len(list) && list[i+1].effectiveAt > 0 && sim.now >= list[i+1].effectiveAt+testRules.Window {
			continue
		}
		most = max(most, testRules.MaxInWindow(one.rate, one.burst))
	}
	return most
}

// bind looks which limits bind alone, a window from now.
func (sim *simulation) updateEffectiveLimits() {
	for name := range sortedNames(sim.usualRate) {
		for _, one := range sim.limits[name] {
			if one.effectiveAt > 0 || sim.now < one.acknowledgedAt+configApplyBound {
				continue
			}
			all := true
			for _, g := range sim.gateways {
				if g.alive && sim.now >= g.connectedSince {
					one.appliedBy[g] = true
				}
				all = all && one.appliedBy[g]
			}
			if all {
				one.effectiveAt = sim.now
			}
		}
	}
}

func (sim *simulation) recordRejected(name string, g *simGateway) {
	count := sim.counts[name]
	count.rejected++
	if sim.overload[name] <= 1 && g.connectedSince <= sim.now {
		count.expected++
		count.expectedRejected++
	}
}

// check panics where the allocator's books don't add up.
func (a *Allocator) checkInvariants() {
	for _, q := range a.tenants {
		sum, demand, leases := lease{}, amount(0), 0
		for _, holder := range a.holders {
			if part := holder.allocations[q]; part != nil {
				sum = sum.plus(part.outstanding)
				demand += part.demand
				if !part.outstanding.isZero() {
					leases++
				}
			}
		}
		if q.limited && q.pool.level < q.floor.recorded {
			panic(fmt.Sprintf("tenant %s has %v in its pool, floor %v", q.name, q.pool.level, q.floor.recorded))
		}
		if sum != q.outstanding || demand != q.demand || leases != q.leaseCount {
			panic(fmt.Sprintf("tenant %s: books %v %v %d, entries %v %v %d", q.name, q.outstanding, q.demand, q.leaseCount, sum, demand, leases))
		}
	}
}

// checkHeld panics where gateways hold more than the lead has committed.
func (sim *simulation) checkOutstanding() {
	control := sim.leader()
	if control == nil || sim.now >= control.leadUntil || sim.windowsOnly {
		return
	}
	a := control.allocator
	sim.checkFloors(a)
	for name := range sortedNames(a.tenants) {
		q := a.tenants[name]
		if limits := sim.limits[name]; len(limits) > 1 && sim.now < limits[len(limits)-1].acknowledgedAt+leaseTTL+2*clockDriftMargin {
			continue // a larger limit's leases may be held still
		}
		held := lease{}
		for _, g := range sim.gateways {
			if !g.alive || g.client.leaseExpiry <= g.clock.read() {
				continue
			}
			if t := g.client.tenants[name]; t != nil {
				held = held.plus(t.lease)
			}
		}
		committed := q.outstanding
		if control.clock.read() < a.learningUntil {
			committed = committed.plus(q.unaccounted)
		}
		if held.rate > committed.rate+roundingTolerance || held.depth > committed.depth+roundingTolerance {
			panic(fmt.Sprintf("at %v tenant %s holds %v, committed %v", sim.now, name, held, committed))
		}
	}
}

// checkFloors panics where the record says more of a pool than is in it: a successor would grant the difference
// once more.
func (sim *simulation) checkFloors(a *Allocator) {
	for name := range sortedNames(sim.floors) {
		q, tokens := a.tenants[name], sim.floors[name]
		if q == nil || !q.limited || a.term == 0 {
			continue
		}
		if q.pool.level < amount(tokens)*token {
			panic(fmt.Sprintf("at %v tenant %s has %v in its pool, %d tokens on record", sim.now, name, q.pool.level, tokens))
		}
	}
}

// ledger is what one life of a gateway may spend at most, by the replies that it was sent in time.
type entitlement struct {
	sequence    uint64 // of the request that was sent last
	sentAt      time.Duration
	replyTaken  bool // its reply came
	leaseExpiry time.Duration
	tenants     map[string]*tenantEntitlement
}

// credit is a tenant's part.
type tenantEntitlement struct {
	poolTokens []tokenBatch
	rate       float64 // of the lease
	depth      float64
	level      float64
	refilledAt time.Duration
}

// ledgerRounding is what a credit's level may be short by, as its parts are rounded.
const entitlementRounding = 1e-3

func newEntitlement() entitlement {
	return entitlement{replyTaken: true, tenants: map[string]*tenantEntitlement{}}
}

func (l *entitlement) of(tenant string) *tenantEntitlement {
	part := l.tenants[tenant]
	if part == nil {
		part = &tenantEntitlement{}
		l.tenants[tenant] = part
	}
	return part
}

func (l *entitlement) sent(now time.Duration, sequence uint64) {
	l.sequence, l.sentAt, l.replyTaken = sequence, now, false
}

// replied takes in a reply, if it is that to the newest request and not too old: what it brings counts from the
// request.
func (l *entitlement) replied(now time.Duration, reply *protocol.QuotaReply) {
	if l.replyTaken || reply.Sequence != l.sequence || reply.Term == 0 || reply.Unknown || now-l.sentAt > replyTimeout {
		return
	}
	l.replyTaken = true
	l.expireLeases(now)
	l.leaseExpiry = max(l.leaseExpiry, l.sentAt+reply.LeaseFor)
	for _, grant := range reply.Grants {
		part := l.of(grant.Tenant)
		part.refill(now)
		if grant.Change {
			part.rate, part.depth = grant.Lease.Rate, grant.Lease.Depth
		}
		if grant.Tokens > 0 {
			part.poolTokens = append(part.poolTokens, tokenBatch{grant.Tokens, l.sentAt + grant.ExpiresAfter})
		}
	}
}

// expire ends the leases when their time is over.
func (l *entitlement) expireLeases(now time.Duration) {
	if now < l.leaseExpiry {
		return
	}
	for _, part := range l.tenants {
		part.rate, part.depth, part.level = 0, 0, 0
	}
}

func (c *tenantEntitlement) refill(now time.Duration) {
	c.level = min(c.level+c.rate*(now-c.refilledAt).Seconds(), c.depth)
	c.refilledAt = now
}

// spend takes a token for a request that goes on, or panics where there is none.
func (l *entitlement) spend(g *simGateway, tenant string) {
	now, part := g.clock.read(), l.of(tenant)
	l.expireLeases(now)
	for len(part.poolTokens) > 0 {
		first := &part.poolTokens[0]
		if first.expiresAt > now && first.tokens > 0 {
			first.tokens--
			return
		}
		part.poolTokens = part.poolTokens[1:]
	}
	part.refill(now)
	if part.level < 1-entitlementRounding && !g.sim.windowsOnly {
		panic(fmt.Sprintf("at %v %s spent a token of %s without a grant in force", g.sim.now, g.node, tenant))
	}
	part.level--
}

// returned takes back a token that was taken a moment ago.
func (l *entitlement) returned(now, taken time.Duration, tenant string) {
	l.expireLeases(now)
	if part := l.of(tenant); now-taken <= maxTokenTTL {
		part.refill(now)
		part.level = min(part.level+1, part.depth)
	}
}

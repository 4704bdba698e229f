package quota

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// auditor judges from outside: by what runs, what is on the wire and the machines' true clocks.
type auditor struct {
	world   *world
	ran     map[string][]time.Duration
	worst   float64 // of the share of the bound that was used
	worstAt string

	terms map[uint64]*span
}

// span is the time over which an allocator acted.
type span struct{ from, to time.Duration }

func newAuditor(w *world) auditor {
	return auditor{world: w, ran: map[string][]time.Duration{}, terms: map[uint64]*span{}}
}

// answered takes in that an allocator answered as of a moment: no two act at the same time. The answer may be made later.
func (a *auditor) answered(at time.Duration, term uint64) {
	if term == 0 || a.world.hollow {
		return
	}
	acts := a.terms[term]
	if acts == nil {
		acts = &span{at, at}
		a.terms[term] = acts
	} else if at >= acts.from && at <= acts.to {
		return
	}
	acts.from, acts.to = min(acts.from, at), max(acts.to, at)
	for other, span := range a.terms {
		if other != term && acts.from < span.to && span.from < acts.to {
			panic(fmt.Sprintf("two allocators act: one from %v to %v, one from %v to %v", acts.from, acts.to, span.from, span.to))
		}
	}
}

// run counts a request that a server runs and checks the rule. It counts as of the decision, which lies between the client's
// sending and the arrival at a server: a window of the rule holds no more.
func (w *world) run(name string, g *simGateway) {
	count := w.counts[name]
	count.served++
	if w.hot[name] <= 1 && g.inTouch <= w.now {
		count.owed++
	}
	a := &w.audit
	ran := append(a.ran[name], w.now)
	for len(ran) > 0 && ran[0] < w.now-testRules.Window {
		ran = ran[1:]
	}
	a.ran[name] = ran
	most := w.most(name)
	if used := float64(len(ran)) / most; used > a.worst {
		a.worst, a.worstAt = used, fmt.Sprintf("%s at %v: %d of %.1f", name, w.now, len(ran), most)
	}
	if float64(len(ran)) > most {
		panic(fmt.Sprintf("tenant %s ran %d in a window that allows %.1f, at %v", name, len(ran), most, w.now))
	}
}

// most is the bound of the largest limit that may still bind.
func (w *world) most(name string) float64 {
	most := 0.0
	list := w.limits[name]
	for i, one := range list {
		if i+1 < len(list) && list[i+1].boundAt > 0 && w.now >= list[i+1].boundAt+testRules.Window {
			continue
		}
		most = max(most, testRules.MaxInWindow(one.rate, one.burst))
	}
	return most
}

// bind looks which limits bind alone, a window from now.
func (w *world) bind() {
	for name := range sortedNames(w.usage) {
		for _, one := range w.limits[name] {
			if one.boundAt > 0 || w.now < one.at+configApply {
				continue
			}
			all := true
			for _, g := range w.gateways {
				if g.alive && w.now >= g.inTouch {
					one.seen[g] = true
				}
				all = all && one.seen[g]
			}
			if all {
				one.boundAt = w.now
			}
		}
	}
}

func (w *world) refuse(name string, g *simGateway) {
	count := w.counts[name]
	count.refused++
	if w.hot[name] <= 1 && g.inTouch <= w.now {
		count.owed++
		count.owedRefused++
	}
}

// check panics where the allocator's books don't add up.
func (a *Allocator) check() {
	for _, one := range a.tenants {
		sum, demand, leases := lease{}, amount(0), 0
		for _, h := range a.holders {
			if e := h.allocations[one]; e != nil {
				sum = sum.plus(e.outstanding)
				demand += e.demand
				if !e.outstanding.isZero() {
					leases++
				}
			}
		}
		if one.limited && one.pool.level < one.floor.recorded {
			panic(fmt.Sprintf("tenant %s has %v in its pool, floor %v", one.tenant, one.pool.level, one.floor.recorded))
		}
		if sum != one.outstanding || demand != one.demand || leases != one.leaseCount {
			panic(fmt.Sprintf("tenant %s: books %v %v %d, entries %v %v %d", one.tenant, one.outstanding, one.demand, one.leaseCount, sum, demand, leases))
		}
	}
}

// checkHeld panics where gateways hold more than the lead has committed.
func (w *world) checkHeld() {
	control := w.leader()
	if control == nil || w.now >= control.leadUntil || w.hollow {
		return
	}
	a := control.allocator
	w.checkFloors(a)
	for name := range sortedNames(a.tenants) {
		one := a.tenants[name]
		if limits := w.limits[name]; len(limits) > 1 && w.now < limits[len(limits)-1].at+leaseTTL+2*clockDriftMargin {
			continue // a larger limit's leases may be held still
		}
		held := lease{}
		for _, g := range w.gateways {
			if !g.alive || g.client.leaseExpiry <= g.clock.read() {
				continue
			}
			if t := g.client.tenants[name]; t != nil {
				held = held.plus(t.lease)
			}
		}
		committed := one.outstanding
		if control.clock.read() < a.learningUntil {
			committed = committed.plus(one.unaccounted)
		}
		if held.rate > committed.rate+roundingTolerance || held.depth > committed.depth+roundingTolerance {
			panic(fmt.Sprintf("at %v tenant %s holds %v, committed %v", w.now, name, held, committed))
		}
	}
}

// checkFloors panics where the record says more of a pool than is in it: a successor would grant the difference once more.
func (w *world) checkFloors(a *Allocator) {
	for name := range sortedNames(w.floors) {
		one, tokens := a.tenants[name], w.floors[name]
		if one == nil || !one.limited || a.term == 0 {
			continue
		}
		if one.pool.level < amount(tokens)*token {
			panic(fmt.Sprintf("at %v tenant %s has %v in its pool, %d tokens on record", w.now, name, one.pool.level, tokens))
		}
	}
}

// ledger is what one life of a gateway may spend at most, by the replies that it was sent in time.
type ledger struct {
	sequence   uint64 // of the request that was sent last
	sentAt     time.Duration
	taken      bool // its reply came
	leaseUntil time.Duration
	tenants    map[string]*credit
}

// credit is a tenant's part.
type credit struct {
	stock  []tokenBatch
	rate   float64 // of the lease
	depth  float64
	level  float64
	filled time.Duration
}

// ledgerRounding is what a credit's level may be short by, as its parts are rounded.
const ledgerRounding = 1e-3

func newLedger() ledger { return ledger{taken: true, tenants: map[string]*credit{}} }

func (l *ledger) of(tenant string) *credit {
	one := l.tenants[tenant]
	if one == nil {
		one = &credit{}
		l.tenants[tenant] = one
	}
	return one
}

func (l *ledger) sent(now time.Duration, sequence uint64) {
	l.sequence, l.sentAt, l.taken = sequence, now, false
}

// replied takes in a reply, if it is that to the newest request and not too old: what it brings counts from the request.
func (l *ledger) replied(now time.Duration, reply *protocol.QuotaReply) {
	if l.taken || reply.Sequence != l.sequence || reply.Term == 0 || reply.Unknown || now-l.sentAt > replyTimeout {
		return
	}
	l.taken = true
	l.expire(now)
	l.leaseUntil = max(l.leaseUntil, l.sentAt+reply.LeaseFor)
	for _, grant := range reply.Grants {
		one := l.of(grant.Tenant)
		one.fill(now)
		if grant.Change {
			one.rate, one.depth = grant.Lease.Rate, grant.Lease.Depth
		}
		if grant.Tokens > 0 {
			one.stock = append(one.stock, tokenBatch{grant.Tokens, l.sentAt + grant.ExpiresAfter})
		}
	}
}

// expire ends the leases when their time is over.
func (l *ledger) expire(now time.Duration) {
	if now < l.leaseUntil {
		return
	}
	for _, one := range l.tenants {
		one.rate, one.depth, one.level = 0, 0, 0
	}
}

func (c *credit) fill(now time.Duration) {
	c.level = min(c.level+c.rate*(now-c.filled).Seconds(), c.depth)
	c.filled = now
}

// spend takes a token for a request that goes on, or panics where there is none.
func (l *ledger) spend(g *simGateway, tenant string) {
	now, one := g.clock.read(), l.of(tenant)
	l.expire(now)
	for len(one.stock) > 0 {
		first := &one.stock[0]
		if first.expiresAt > now && first.tokens > 0 {
			first.tokens--
			return
		}
		one.stock = one.stock[1:]
	}
	one.fill(now)
	if one.level < 1-ledgerRounding && !g.world.hollow {
		panic(fmt.Sprintf("at %v %s spent a token of %s without a grant in force", g.world.now, g.node, tenant))
	}
	one.level--
}

// returned takes back a token that was taken a moment ago.
func (l *ledger) returned(now, taken time.Duration, tenant string) {
	l.expire(now)
	if one := l.of(tenant); now-taken <= maxTokenTTL {
		one.fill(now)
		one.level = min(one.level+1, one.depth)
	}
}

package quota

import (
	"container/list"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	leastSweepGap    = 200 * time.Millisecond  // between weighings of all leases of a gateway
	sweepPerHolder   = 2500 * time.Microsecond // the same for each gateway, so that the weighing doesn't grow with their square
	rememberDropped  = 30 * time.Second        // of tenants and of processes that ended
	shortestPoolWait = 50 * time.Millisecond
	longestPoolWait  = time.Second
	unknownWait      = 200 * time.Millisecond // for a tenant that no configuration here has
	unlimitedExpiry  = time.Second
	askGapPerHolder  = 100 * time.Microsecond // so that no more than 10,000 requests a second come, however many gateways ask
	longestAskGap    = 50 * time.Millisecond
)

// AllocatorOptions are what the allocator's process tells once.
type AllocatorOptions struct {
	Rules
	Random func() uint64 // numbers terms; nil: seeded at random
}

// Allocator hands out tokens and leases. It has one owner: its methods must not run at the same time.
type Allocator struct {
	options      AllocatorOptions
	term         uint64 // 0: doesn't act
	unknownUntil time.Duration
	now          time.Duration
	accounts     map[string]*account
	holders      map[string]*holder       // by process
	byNode       map[string][]*holder     // by node: more than one while it is not known which of them ended
	heard        *list.List               // of *holder, the longest silent first
	dead         map[string]time.Duration // processes that ended, by when that was known
	deadSwept    time.Duration
	record       record
	floors       map[string]amount // on record, of tenants that no configuration has as well
	pressed      bool
}

// account is a tenant's.
type account struct {
	tenant    string
	limited   bool
	dropped   bool // no configuration has it any more
	droppedAt time.Duration
	budget    budget
	pool      bucket
	floor     floor
	lent      lease // by holders that are known
	unknown   lease // by holders of earlier terms, until unknownUntil
	demand    amount
	leases    int // holders with a lease
}

// NewAllocator makes an allocator that doesn't act yet.
func NewAllocator(options AllocatorOptions) *Allocator {
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	a := &Allocator{options: options, accounts: map[string]*account{}}
	a.forgetHolders()
	return a
}

func (a *Allocator) forgetHolders() {
	a.holders, a.byNode = map[string]*holder{}, map[string][]*holder{}
	a.heard, a.dead = list.New(), map[string]time.Duration{}
	for _, one := range a.accounts {
		one.lent, one.demand, one.leases = lease{}, 0, 0
	}
}

// Acts tells whether the allocator was started and not stopped.
func (a *Allocator) Acts() bool { return a.term != 0 }

// Start begins a term: no other allocator acts from now on. For at least idle before now none has acted. The nodes are all to
// which an earlier one may have lent; nil where that isn't known. The floors are those on record.
func (a *Allocator) Start(now, idle time.Duration, nodes []string, floors []Floor) {
	a.forgetHolders()
	a.floors = make(map[string]amount, len(floors))
	for _, one := range floors {
		a.floors[one.Tenant] = amount(one.Tokens) * token
	}
	a.now = max(a.now, now)
	a.unknownUntil = a.now - idle + leaseFor + clockMargin
	if a.record.begin(a.now, nodes) {
		a.unknownUntil = a.now
	}
	a.term = a.options.Random() | 1
	for _, one := range a.accounts {
		a.begin(one, idle)
	}
}

// Stop ends the term.
func (a *Allocator) Stop() {
	a.term = 0
	a.forgetHolders()
}

// begin opens an account of which all that may be lent counts as lent by others. What couldn't be has flowed in since none acted.
func (a *Allocator) begin(one *account, idle time.Duration) {
	one.unknown = lease{one.budget.maxLentRate, one.budget.maxLent}
	one.floor = floor{recorded: a.floors[one.tenant], raisedAt: a.now}
	one.pool = bucket{level: one.floor.recorded, at: a.now - idle}
	a.refill(one)
}

// Configure takes a configuration in. A lower limit holds from now on. A tenant that is dropped is remembered for a while,
// so that one that comes back doesn't begin with a full pool.
func (a *Allocator) Configure(snapshot *configuration.Snapshot) { a.ConfigureTenants(snapshot.Tenants) }

// ConfigureTenants takes a configuration's tenants in.
func (a *Allocator) ConfigureTenants(tenants []configuration.Tenant) {
	seen := make(map[string]bool, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		seen[tenant.Name] = true
		a.configure(tenant)
	}
	for name, one := range a.accounts {
		if seen[name] {
			continue
		}
		if !one.dropped {
			one.dropped, one.droppedAt = true, a.now
		} else if a.now-one.droppedAt > rememberDropped && one.leases == 0 && one.lent.none() && one.demand == 0 {
			delete(a.accounts, name)
		}
	}
}

func (a *Allocator) configure(tenant *configuration.Tenant) {
	one := a.accounts[tenant.Name]
	isNew := one == nil
	if isNew {
		one = &account{tenant: tenant.Name}
		a.accounts[tenant.Name] = one
	}
	wasLimited := one.limited
	one.dropped = false
	one.limited = tenant.RatePerSec > 0
	if !one.limited {
		return
	}
	if !isNew && wasLimited {
		a.refill(one)
	}
	one.budget = budgetOf(a.options.Rules, tenant)
	switch {
	case !isNew && wasLimited:
		one.pool.level = min(one.pool.level, one.poolMost())
	case a.now < a.unknownUntil:
		a.begin(one, 0)
	default:
		one.floor.recorded = a.floors[one.tenant]
		one.pool = bucket{level: one.poolMost(), at: a.now}
	}
}

// refill brings a pool up to date: what is lent, or may be, doesn't flow into it.
func (a *Allocator) refill(one *account) {
	if !one.unknown.none() {
		known := min(a.now, a.unknownUntil)
		one.pool.fill(known, one.budget.rate-one.lent.rate-one.unknown.rate, one.poolMost())
		if a.now >= a.unknownUntil {
			one.unknown = lease{}
		}
	}
	one.pool.fill(a.now, one.budget.rate-one.lent.rate-one.unknown.rate, one.poolMost())
}

// poolDepth is the depth that isn't lent.
func (one *account) poolDepth() amount {
	return max(0, one.budget.depth-one.lent.depth-one.unknown.depth)
}

// poolMost is what the pool holds at most. Under a limit that was lowered its depth may be less than its floor: what lies up to the
// floor stays, though none of it can be granted, until the floor has been lowered on record. A successor then finds no more in the
// pool than was there.
func (one *account) poolMost() amount { return max(one.poolDepth(), one.floor.least()) }

// Request answers a gateway. Now is when the allocator surely acts, read before that was made sure.
func (a *Allocator) Request(now time.Duration, request protocol.QuotaRequest) protocol.QuotaReply {
	a.now = max(a.now, now)
	reply := protocol.QuotaReply{Sequence: request.Sequence, LeaseFor: leaseFor}
	if a.term == 0 {
		return reply
	}
	a.endSilent()
	reply.AskGap = min(time.Duration(len(a.holders))*askGapPerHolder, longestAskGap)
	h := a.holderOf(&request)
	if h == nil || request.Sequence <= h.sequence {
		return reply
	}
	reply.Term = a.term
	a.endEarlier(h, &request)
	h.sequence = request.Sequence
	a.hear(h)
	if !a.meet(h, &request) {
		reply.Unknown = true
		return reply
	}
	a.acknowledge(h, &request)
	a.noteTold(h, &request)
	for i := range request.Demands {
		if grant, told := a.serve(h, &request.Demands[i]); told {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	if a.now-h.swept >= max(leastSweepGap, time.Duration(len(a.holders))*sweepPerHolder) {
		a.sweep(h)
	}
	reply.Grants = h.tellPending(reply.Grants)
	return reply
}

// serve answers one demand.
func (a *Allocator) serve(h *holder, demand *protocol.QuotaDemand) (grant protocol.QuotaGrant, told bool) {
	grant.Tenant = demand.Tenant
	one := a.accounts[demand.Tenant]
	if one == nil || one.dropped {
		grant.RetryAfter = unknownWait
		return grant, demand.Want > 0
	}
	if !one.limited {
		grant.Tokens, grant.ExpiresAfter = demand.Want, unlimitedExpiry
		return grant, demand.Want > 0
	}
	a.refill(one)
	e := h.entryOf(one)
	e.setDemand(tokens(max(0, demand.Rate)))
	a.offer(h, e)
	if demand.Want > 0 {
		a.grant(one, demand.Want, &grant)
	}
	if e.pendingAt != 0 {
		e.pendingAt = h.sequence
		grant.Change, grant.Lease = true, e.offered.message()
	}
	e.toldAt = h.sequence
	return grant, grant.Change || demand.Want > 0
}

// grant takes whole tokens from a pool.
func (a *Allocator) grant(one *account, want int, grant *protocol.QuotaGrant) {
	one.pool.level = min(one.pool.level, one.poolMost()) // more may have been lent since it was filled
	there := int(one.free() / token)
	grant.Tokens = min(want, there)
	grant.ExpiresAfter = one.budget.expiry
	one.pool.level -= amount(grant.Tokens) * token
	a.pressed = a.pressed || one.lowers()
	missing := want - grant.Tokens
	if missing == 0 {
		return
	}
	inflow := max(token/100, one.budget.rate-one.lent.rate-one.unknown.rate)
	wait := time.Duration(float64(amount(missing)*token-one.free()) / float64(inflow) * float64(time.Second))
	grant.RetryAfter = min(max(wait, shortestPoolWait), longestPoolWait)
}

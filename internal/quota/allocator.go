package quota

import (
	"container/list"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	minRebalanceInterval       = 200 * time.Millisecond  // between weighings of all leases of a gateway
	rebalanceIntervalPerHolder = 2500 * time.Microsecond // the same for each gateway, so that the weighing doesn't grow with their square
	tombstoneTTL               = 30 * time.Second        // of tenants and of processes that ended
	minRetryAfter              = 50 * time.Millisecond
	maxRetryAfter              = time.Second
	unknownTenantRetryAfter    = 200 * time.Millisecond // for a tenant that no configuration here has
	unlimitedTokenTTL          = time.Second
	requestIntervalPerHolder   = 100 * time.Microsecond // so that no more than 10,000 requests a second come, however many gateways ask
	maxRequestInterval         = 50 * time.Millisecond
)

// AllocatorOptions are what the allocator's process tells once.
type AllocatorOptions struct {
	Rules
	Random func() uint64 // numbers terms; nil: seeded at random
}

// Allocator hands out tokens and leases. It has one owner: its methods must not run at the same time.
type Allocator struct {
	options           AllocatorOptions
	term              uint64 // 0: doesn't act
	learningUntil     time.Duration
	now               time.Duration
	tenants           map[string]*tenantQuota
	holders           map[string]*leaseHolder   // by process
	holdersByNode     map[string][]*leaseHolder // by node: more than one while it is not known which of them ended
	byLastContact     *list.List                // of *holder, the longest silent first
	deadProcesses     map[string]time.Duration  // processes that ended, by when that was known
	tombstonesSweptAt time.Duration
	grantees          granteeRegistry
	recordedFloors    map[string]amount // on record, of tenants that no configuration has as well
	floorChangeUrgent bool
}

// account is a tenant's.
type tenantQuota struct {
	name        string
	limited     bool
	removed     bool // no configuration has it any more
	removedAt   time.Duration
	budget      budget
	pool        bucket
	floor       poolFloor
	outstanding lease // by holders that are known
	unaccounted lease // by holders of earlier terms, until unknownUntil
	demand      amount
	leaseCount  int // holders with a lease
}

// NewAllocator makes an allocator that doesn't act yet.
func NewAllocator(options AllocatorOptions) *Allocator {
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	a := &Allocator{options: options, tenants: map[string]*tenantQuota{}}
	a.forgetHolders()
	return a
}

func (a *Allocator) forgetHolders() {
	a.holders, a.holdersByNode = map[string]*leaseHolder{}, map[string][]*leaseHolder{}
	a.byLastContact, a.deadProcesses = list.New(), map[string]time.Duration{}
	for _, q := range a.tenants {
		q.outstanding, q.demand, q.leaseCount = lease{}, 0, 0
	}
}

// Acts tells whether the allocator was started and not stopped.
func (a *Allocator) Active() bool { return a.term != 0 }

// Start begins a term: no other allocator acts from now on. For at least idle before now none has acted. The nodes are all to
// which an earlier one may have lent; nil where that isn't known. The floors are those on record.
func (a *Allocator) Start(now, idle time.Duration, grantees []string, floors []Floor) {
	a.forgetHolders()
	a.recordedFloors = make(map[string]amount, len(floors))
	for _, one := range floors {
		a.recordedFloors[one.Tenant] = amount(one.Tokens) * token
	}
	a.now = max(a.now, now)
	a.learningUntil = a.now - idle + leaseTTL + clockDriftMargin
	if a.grantees.startTerm(a.now, grantees) {
		a.learningUntil = a.now
	}
	a.term = a.options.Random() | 1
	for _, one := range a.tenants {
		a.enterLearning(one, idle)
	}
}

// Stop ends the term.
func (a *Allocator) Stop() {
	a.term = 0
	a.forgetHolders()
}

// begin opens an account of which all that may be lent counts as lent by others. What couldn't be has flowed in since none acted.
func (a *Allocator) enterLearning(q *tenantQuota, idle time.Duration) {
	q.unaccounted = lease{q.budget.maxLeasedRate, q.budget.maxLeasedDepth}
	q.floor = poolFloor{recorded: a.recordedFloors[q.name], changedAt: a.now}
	q.pool = bucket{level: q.floor.recorded, refilledAt: a.now - idle}
	a.refill(q)
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
		a.configureTenant(tenant)
	}
	for name, q := range a.tenants {
		if seen[name] {
			continue
		}
		if !q.removed {
			q.removed, q.removedAt = true, a.now
		} else if a.now-q.removedAt > tombstoneTTL && q.leaseCount == 0 && q.outstanding.isZero() && q.demand == 0 {
			delete(a.tenants, name)
		}
	}
}

func (a *Allocator) configureTenant(tenant *configuration.Tenant) {
	q := a.tenants[tenant.Name]
	isNew := q == nil
	if isNew {
		q = &tenantQuota{name: tenant.Name}
		a.tenants[tenant.Name] = q
	}
	wasLimited := q.limited
	q.removed = false
	q.limited = tenant.RatePerSec > 0
	if !q.limited {
		return
	}
	if !isNew && wasLimited {
		a.refill(q)
	}
	q.budget = newBudget(a.options.Rules, tenant)
	switch {
	case !isNew && wasLimited:
		q.pool.level = min(q.pool.level, q.maxPoolLevel())
	case a.now < a.learningUntil:
		a.enterLearning(q, 0)
	default:
		q.floor.recorded = a.recordedFloors[q.name]
		q.pool = bucket{level: q.maxPoolLevel(), refilledAt: a.now}
	}
}

// refill brings a pool up to date: what is lent, or may be, doesn't flow into it.
func (a *Allocator) refill(q *tenantQuota) {
	if !q.unaccounted.isZero() {
		known := min(a.now, a.learningUntil)
		q.pool.refill(known, q.budget.rate-q.outstanding.rate-q.unaccounted.rate, q.maxPoolLevel())
		if a.now >= a.learningUntil {
			q.unaccounted = lease{}
		}
	}
	q.pool.refill(a.now, q.budget.rate-q.outstanding.rate-q.unaccounted.rate, q.maxPoolLevel())
}

// poolDepth is the depth that isn't lent.
func (q *tenantQuota) poolDepth() amount {
	return max(0, q.budget.depth-q.outstanding.depth-q.unaccounted.depth)
}

// poolMost is what the pool holds at most. Under a limit that was lowered its depth may be less than its floor: what lies up to the
// floor stays, though none of it can be granted, until the floor has been lowered on record. A successor then finds no more in the
// pool than was there.
func (q *tenantQuota) maxPoolLevel() amount { return max(q.poolDepth(), q.floor.bound()) }

// Request answers a gateway. Now is when the allocator surely acts, read before that was made sure.
func (a *Allocator) Request(now time.Duration, request protocol.QuotaRequest) protocol.QuotaReply {
	a.now = max(a.now, now)
	reply := protocol.QuotaReply{Sequence: request.Sequence, LeaseFor: leaseTTL}
	if a.term == 0 {
		return reply
	}
	a.expireHolders()
	reply.AskGap = min(time.Duration(len(a.holders))*requestIntervalPerHolder, maxRequestInterval)
	holder := a.holderFor(&request)
	if holder == nil || request.Sequence <= holder.lastSequence {
		return reply
	}
	reply.Term = a.term
	a.endPredecessors(holder, &request)
	holder.lastSequence = request.Sequence
	a.recordContact(holder)
	if !a.reconcile(holder, &request) {
		reply.Unknown = true
		return reply
	}
	a.acknowledge(holder, &request)
	a.noteReconciled(holder, &request)
	for i := range request.Demands {
		if grant, include := a.answerDemand(holder, &request.Demands[i]); include {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	if a.now-holder.rebalancedAt >= max(minRebalanceInterval, time.Duration(len(a.holders))*rebalanceIntervalPerHolder) {
		a.rebalance(holder)
	}
	reply.Grants = holder.appendUnacked(reply.Grants)
	return reply
}

// serve answers one demand.
func (a *Allocator) answerDemand(holder *leaseHolder, demand *protocol.QuotaDemand) (grant protocol.QuotaGrant, include bool) {
	grant.Tenant = demand.Tenant
	q := a.tenants[demand.Tenant]
	if q == nil || q.removed {
		grant.RetryAfter = unknownTenantRetryAfter
		return grant, demand.Want > 0
	}
	if !q.limited {
		grant.Tokens, grant.ExpiresAfter = demand.Want, unlimitedTokenTTL
		return grant, demand.Want > 0
	}
	a.refill(q)
	part := holder.allocationFor(q)
	part.setDemand(tokens(max(0, demand.Rate)))
	a.offerLease(holder, part)
	if demand.Want > 0 {
		a.grantTokens(q, demand.Want, &grant)
	}
	if part.unackedSequence != 0 {
		part.unackedSequence = holder.lastSequence
		grant.Change, grant.Lease = true, part.offered.toMessage()
	}
	part.sentSequence = holder.lastSequence
	return grant, grant.Change || demand.Want > 0
}

// grant takes whole tokens from a pool.
func (a *Allocator) grantTokens(q *tenantQuota, want int, grant *protocol.QuotaGrant) {
	q.pool.level = min(q.pool.level, q.maxPoolLevel()) // more may have been lent since it was filled
	available := int(q.grantable() / token)
	grant.Tokens = min(want, available)
	grant.ExpiresAfter = q.budget.tokenTTL
	q.pool.level -= amount(grant.Tokens) * token
	a.floorChangeUrgent = a.floorChangeUrgent || q.needsLowerFloor()
	missing := want - grant.Tokens
	if missing == 0 {
		return
	}
	inflow := max(token/100, q.budget.rate-q.outstanding.rate-q.unaccounted.rate)
	wait := time.Duration(float64(amount(missing)*token-q.grantable()) / float64(inflow) * float64(time.Second))
	grant.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
}

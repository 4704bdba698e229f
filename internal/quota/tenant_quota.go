package quota

import (
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Bounds of QuotaGrant.RetryAfter, the time until a pool without enough tokens is expected to have them.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// tenantQuota is the allocator's state of one tenant: its pool and the sums over its leases.
//
// Invariants: outstanding, demand and leaseCount are the sums over all holders' allocations. After a refill,
// pool.level plus the depths of outstanding and unaccounted is at most budget.depth, except that the floor may
// keep more in the pool after a limit was lowered (maxPoolLevel).
type tenantQuota struct {
	name      string
	limited   bool // the tenant has a limit; the fields from budget on are valid only then
	removed   bool // no longer in the configuration
	removedAt time.Duration

	budget      budget
	pool        bucket
	floor       poolFloor
	outstanding lease  // upper bound of the summed leases of known holders
	unaccounted lease  // upper bound of the summed leases of earlier terms not reported yet, until learningUntil
	demand      amount // per second, summed over holders
	leaseCount  int    // number of holders with an outstanding lease
}

// unused reports whether no holder has a lease or demand.
func (q *tenantQuota) unused() bool {
	return q.leaseCount == 0 && q.outstanding.isZero() && q.demand == 0
}

// configureTenant applies one tenant's limit. A new tenant starts with a full pool, except while the
// allocator learns: the tenant may then have leases of an earlier allocator.
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
		a.refill(q) // up to now the old rate applies
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

// enterLearning resets a tenant's pool at the start of a term: everything that may be leased counts as leased
// by earlier allocators (unaccounted), and the pool holds the recorded floor. The part of the rate that can't
// have been leased has flowed into the pool during idle, the time without an active allocator.
func (a *Allocator) enterLearning(q *tenantQuota, idle time.Duration) {
	q.unaccounted = lease{q.budget.maxLeasedRate, q.budget.maxLeasedDepth}
	q.floor = poolFloor{recorded: a.recordedFloors[q.name], changedAt: a.now}
	q.pool = bucket{level: q.floor.recorded, refilledAt: a.now - idle}
	a.refill(q)
}

// refill adds a pool's inflow up to a.now. The rate that is or may be leased doesn't flow into the pool. Within a
// term every change of outstanding or unaccounted is preceded by a refill, because it changes the inflow.
func (a *Allocator) refill(q *tenantQuota) {
	if !q.unaccounted.isZero() {
		q.pool.refill(min(a.now, a.learningUntil), q.inflow(), q.maxPoolLevel())
		if a.now >= a.learningUntil {
			q.unaccounted = lease{}
		}
	}
	q.pool.refill(a.now, q.inflow(), q.maxPoolLevel())
}

// inflow returns the rate per second that isn't leased.
func (q *tenantQuota) inflow() amount { return q.budget.rate - q.outstanding.rate - q.unaccounted.rate }

// poolDepth returns the depth that isn't leased.
func (q *tenantQuota) poolDepth() amount {
	return max(0, q.budget.depth-q.outstanding.depth-q.unaccounted.depth)
}

// maxPoolLevel returns the most that the pool may hold. After a limit was lowered, poolDepth may be less than
// the floor: the tokens up to the floor stay in the pool, though none of them can be granted, until the floor
// has been lowered in the record. Otherwise a successor would start with more tokens than this pool has.
func (q *tenantQuota) maxPoolLevel() amount { return max(q.poolDepth(), q.floor.bound()) }

// grantable returns how much of the pool may be granted: what is above the floor.
func (q *tenantQuota) grantable() amount { return max(0, q.pool.level-q.floor.bound()) }

// grantTokens takes up to want whole tokens from the pool and enters them in the grant. If there are fewer, the
// grant's RetryAfter is the time, within bounds, until the rest will have flowed in.
func (q *tenantQuota) grantTokens(want int, grant *protocol.QuotaGrant) {
	q.pool.level = min(q.pool.level, q.maxPoolLevel()) // more may have been leased since the refill
	grant.Tokens = min(want, int(q.grantable()/token))
	grant.ExpiresAfter = q.budget.tokenTTL
	q.pool.level -= amount(grant.Tokens) * token
	missing := want - grant.Tokens
	if missing == 0 {
		return
	}
	inflow := max(token/100, q.inflow()) // not 0: a pool whose rate is all leased would never fill
	wait := time.Duration(float64(amount(missing)*token-q.grantable()) / float64(inflow) * float64(time.Second))
	grant.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
}

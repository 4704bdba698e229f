package quota

import (
	"container/list"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// A holder's leases are all recomputed at most this often. The second interval is per holder, so that the
	// work of recomputing grows with the number of holders and not with its square.
	minRebalanceInterval       = 200 * time.Millisecond
	rebalanceIntervalPerHolder = 2500 * time.Microsecond

	// tombstoneTTL is how long tenants that left the configuration and processes that ended are remembered.
	tombstoneTTL = 30 * time.Second

	// Gateways that wait for tokens are told to ask at most this often: no more than 10,000 requests per second
	// reach the allocator, however many gateways ask.
	requestIntervalPerHolder = 100 * time.Microsecond
	maxRequestInterval       = 50 * time.Millisecond

	unknownTenantRetryAfter = 200 * time.Millisecond // for a tenant that the allocator's configuration doesn't have
	unlimitedTokenTTL       = time.Second            // lifetime of tokens of a tenant without a limit
)

// AllocatorOptions are the fixed parameters of an Allocator.
type AllocatorOptions struct {
	Rules
	Random func() uint64 // gives terms their numbers; nil: a randomly seeded generator
}

// Allocator grants tokens and leases. It isn't safe for concurrent use.
//
// Its times are durations since an origin that the caller chooses; they come from a monotonic clock and never
// go back.
type Allocator struct {
	options       AllocatorOptions
	term          uint64        // identifies the period since Start; 0: inactive
	learningUntil time.Duration // until then leases of earlier terms may be held that aren't reported yet
	now           time.Duration
	tenants       map[string]*tenantQuota

	// Invariant: holders, holdersByNode and byLastContact contain the same lease holders.
	holders       map[string]*leaseHolder   // by processID
	holdersByNode map[string][]*leaseHolder // more than one of a node while it isn't known which of its processes ended
	byLastContact *list.List                // of *leaseHolder, the one with the oldest contact first

	deadProcesses     map[string]time.Duration // processID to when the process was known to have ended
	tombstonesSweptAt time.Duration
	grantees          granteeRegistry
	recordedFloors    map[string]amount // also of tenants that the configuration doesn't have
	floorChangeUrgent bool              // see FloorChangeUrgent
}

// NewAllocator creates an inactive allocator. Start makes it active.
func NewAllocator(options AllocatorOptions) *Allocator {
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	a := &Allocator{options: options, tenants: map[string]*tenantQuota{}}
	a.forgetHolders()
	return a
}

// forgetHolders drops all that belongs to a term.
func (a *Allocator) forgetHolders() {
	a.holders, a.holdersByNode = map[string]*leaseHolder{}, map[string][]*leaseHolder{}
	a.byLastContact, a.deadProcesses = list.New(), map[string]time.Duration{}
	for _, q := range a.tenants {
		q.outstanding, q.demand, q.leaseCount = lease{}, 0, 0
	}
}

// Active reports whether the allocator was started and not stopped since.
func (a *Allocator) Active() bool { return a.term != 0 }

// Start begins a term. The caller guarantees that no other allocator is active from now on, and that none was
// for at least idle before now. Grantees are all nodes that may hold leases of earlier allocators; nil where
// that isn't recorded, so that every node may. Floors are the recorded ones.
func (a *Allocator) Start(now, idle time.Duration, grantees []string, floors []Floor) {
	a.forgetHolders()
	a.recordedFloors = make(map[string]amount, len(floors))
	for _, floor := range floors {
		a.recordedFloors[floor.Tenant] = amount(floor.Tokens) * token
	}
	a.now = max(a.now, now)
	a.learningUntil = a.now - idle + leaseTTL + clockDriftMargin
	if a.grantees.startTerm(a.now, grantees) {
		a.learningUntil = a.now
	}
	a.term = a.options.Random() | 1 // never 0, which is no term
	for _, q := range a.tenants {
		a.enterLearning(q, idle)
	}
}

// Stop ends the term. Leases that are held stay in force until they expire.
func (a *Allocator) Stop() {
	a.term = 0
	a.forgetHolders()
}

// Configure applies the tenants of a configuration. A lower limit applies from now on. A tenant that is
// removed is remembered for tombstoneTTL, so that one that comes back doesn't start with a full pool.
func (a *Allocator) Configure(snapshot *configuration.Snapshot) { a.ConfigureTenants(snapshot.Tenants) }

// ConfigureTenants is Configure for a list of tenants.
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
		} else if a.now-q.removedAt > tombstoneTTL && q.unused() {
			delete(a.tenants, name)
		}
	}
}

// Request answers a gateway's request. Now is a moment at which this allocator was certainly the active one:
// the caller reads the clock first and then checks that it leads, so that a process pause between the two
// can't make it grant in another's term. A reply with Term 0 grants nothing.
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

// answerDemand answers one demand of a request. The grant is part of the reply only if include is true.
func (a *Allocator) answerDemand(
	holder *leaseHolder, demand *protocol.QuotaDemand,
) (grant protocol.QuotaGrant, include bool) {
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
		q.grantTokens(demand.Want, &grant)
		a.floorChangeUrgent = a.floorChangeUrgent || q.needsLowerFloor()
	}
	if part.unackedSequence != 0 {
		part.unackedSequence = holder.lastSequence
		grant.Change, grant.Lease = true, part.offered.toMessage()
	}
	part.sentSequence = holder.lastSequence
	return grant, grant.Change || demand.Want > 0
}

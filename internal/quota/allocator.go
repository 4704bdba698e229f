package quota

import (
	"container/list"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// The leases of a holder are all recomputed at most once per interval: minRebalanceInterval, or
	// rebalanceIntervalPerHolder times the number of holders if that is longer. So the total work of recomputing
	// grows with the number of holders and not with its square.
	minRebalanceInterval       = 200 * time.Millisecond
	rebalanceIntervalPerHolder = 2500 * time.Microsecond

	// tombstoneTTL is how long removed tenants and ended processes are remembered.
	tombstoneTTL = 30 * time.Second

	// Minimum time between two requests of a gateway that waits for tokens (QuotaReply.AskGap):
	// requestIntervalPerHolder times the number of holders, so that no more than 10,000 requests per second reach
	// the allocator, but at most maxRequestInterval, which is reached with 500 holders.
	requestIntervalPerHolder = 100 * time.Microsecond
	maxRequestInterval       = 50 * time.Millisecond

	unknownTenantRetryAfter = 200 * time.Millisecond // for a tenant that isn't in the allocator's configuration
	unlimitedTokenTTL       = time.Second            // lifetime of tokens of a tenant without a limit
)

// AllocatorOptions are the fixed parameters of an Allocator.
type AllocatorOptions struct {
	Rules
	Random func() uint64 // source of the numbers of terms; nil: a randomly seeded generator
}

// Allocator grants tokens and leases. It isn't safe for concurrent use.
//
// Times are durations since an origin that the caller chooses, read from a monotonic clock, which never goes
// back.
type Allocator struct {
	options       AllocatorOptions
	term          uint64        // identifies the period since Start; 0: inactive
	learningUntil time.Duration // until then gateways may hold leases of earlier terms that they haven't reported yet
	now           time.Duration
	tenants       map[string]*tenantQuota

	// Invariant: holders, holdersByNode and byLastContact contain the same lease holders.
	holders       map[string]*leaseHolder   // by processID
	holdersByNode map[string][]*leaseHolder // several of a node while it isn't known which of its processes have ended
	byLastContact *list.List                // of *leaseHolder, in the order of lastContact, the oldest first

	deadProcesses     map[string]time.Duration // by processID: when the process was found to have ended
	tombstonesSweptAt time.Duration
	grantees          granteeRegistry
	recordedFloors    map[string]amount // by tenant, also of tenants that aren't in the configuration
	floorChangeUrgent bool              // see FloorChangeUrgent
}

// NewAllocator creates an inactive allocator. Start makes it active.
func NewAllocator(options AllocatorOptions) *Allocator {
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	a := &Allocator{options: options, tenants: map[string]*tenantQuota{}}
	a.resetHolders()
	return a
}

// resetHolders removes all state that belongs to a term.
func (a *Allocator) resetHolders() {
	a.holders, a.holdersByNode = map[string]*leaseHolder{}, map[string][]*leaseHolder{}
	a.byLastContact, a.deadProcesses = list.New(), map[string]time.Duration{}
	for _, q := range a.tenants {
		q.outstanding, q.demand, q.leaseCount = lease{}, 0, 0
	}
}

// Active reports whether the allocator has been started and not stopped since.
func (a *Allocator) Active() bool { return a.term != 0 }

// Start begins a term. The caller guarantees that no other allocator is active from now on, and that none was
// active for at least idle before now. The grantees are all nodes that may hold leases of earlier allocators; nil
// means that these nodes aren't recorded, so that every node may hold leases. The floors are the recorded ones.
func (a *Allocator) Start(now, idle time.Duration, grantees []string, floors []Floor) {
	a.resetHolders()
	a.recordedFloors = make(map[string]amount, len(floors))
	for _, floor := range floors {
		a.recordedFloors[floor.Tenant] = amount(floor.Tokens) * token
	}
	a.now = max(a.now, now)
	a.learningUntil = a.now - idle + leaseTTL + clockDriftMargin
	if a.grantees.startTerm(a.now, grantees) {
		a.learningUntil = a.now
	}
	a.term = a.options.Random() | 1 // never 0, which stands for inactive
	for _, q := range a.tenants {
		a.enterLearning(q, idle)
	}
}

// Stop ends the term. Leases that gateways hold stay in force until they expire.
func (a *Allocator) Stop() {
	a.term = 0
	a.resetHolders()
}

// Configure applies the tenants of a configuration. A lowered limit applies from now on. A removed tenant is
// remembered for tombstoneTTL, so that it doesn't start with a full pool if it is added again by then.
func (a *Allocator) Configure(snapshot *configuration.Snapshot) { a.ConfigureTenants(snapshot.Tenants) }

// ConfigureTenants applies a list of tenants, as Configure does with those of a configuration.
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

// Request handles a gateway's request and returns the reply. At the time now this allocator must certainly have
// been the active one: the caller reads the clock first and then checks that it is the leader, so that a process
// pause between the two can't make it grant in another allocator's term. A reply with Term 0 grants nothing.
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
	a.markReconciled(holder, &request)
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

// answerDemand returns the grant for one demand of a request. It belongs in the reply only if include is true.
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
	alloc := holder.allocationFor(q)
	alloc.setDemand(tokens(max(0, demand.Rate)))
	a.offerLease(holder, alloc)
	if demand.Want > 0 {
		q.grantTokens(demand.Want, &grant)
		a.floorChangeUrgent = a.floorChangeUrgent || q.needsLowerFloor()
	}
	if alloc.unackedSequence != 0 {
		alloc.unackedSequence = holder.lastSequence
		grant.Change, grant.Lease = true, alloc.offered.toMessage()
	}
	alloc.sentSequence = holder.lastSequence
	return grant, grant.Change || demand.Want > 0
}

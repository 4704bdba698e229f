// Package quota enforces each tenant's rate limit (rate per second, burst) over all gateways together. It is
// a distributed token bucket made of two pure state machines: the Allocator, of which one is active in the
// whole system at a time, and a Client in each gateway. The package does no input or output, reads no clock
// and elects no allocator: the callers pass in the time and carry the messages (internal/control/quotaservice
// and internal/gateway/quotaclient).
//
// # Algorithm
//
// The allocator has one token bucket for each tenant, the pool. It gives away capacity in two ways:
//
//   - Tokens. A gateway asks for single tokens as requests need them. They expire at most 250 ms
//     (maxTokenTTL) after the request for them was sent, by the requester's own clock.
//   - Leases. A part of the rate is leased to the gateways in proportion to their demand, for 3 s (leaseTTL).
//     A lease is a local token bucket with a rate and a depth that its holder spends from without asking. It
//     ends a fixed time after the last answered request was sent, again by the holder's own clock. What is
//     leased is subtracted from the pool's inflow and depth for as long as any holder may still spend it.
//
// Leases save messages while all is well, and serve the tenants while there is no allocator or it can't be
// reached.
//
// The scheme is that of leases (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency", 1989) on a bounded counter, where replicas hold parts of a global
// limit in escrow (O'Neil, "The escrow transactional method", 1986; Balegas et al., "Extending eventually
// consistent cloud databases for enforcing numeric invariants", 2015). The division by demand and the
// learning period of a new allocator are those of Doorman (YouTube's cooperative rate limiter). We depart
// from Doorman in that an allocator that doesn't know all leases never overcommits: it grants only what no
// holder that it doesn't know can have.
//
// # Invariant
//
// Let W be the window, R the rate that is granted, E the lifetime of tokens, and D the depth of the pool and
// all leases together. For any window [t, t+W], summed over all gateways, whether they are connected,
// partitioned, paused or dead:
//
//	spent <= D + R*E + R*W
//
// Proof. Pool tokens that are spent in the window were granted in [t-E, t+W]. Consider that interval, with
// the level of the pool plus the levels of all leases at its beginning. At any moment the sums over all
// gateways of the rates and of the depths that are really held are at most what the allocator counts as
// outstanding (tenantQuota.outstanding plus unaccounted). The pool is cut to D less the outstanding depth
// whenever more is leased, a new lease begins empty, and a raised one as full as it was: so the levels sum to
// D at most at the beginning. The inflow is R less the outstanding rate into the pool and at most the
// outstanding rate into the leases, which is R together. What was spent from leases before t only lowers the
// sum.
//
// newBudget chooses R, E and D so that the sum stays within the rule's (rate*W + burst)*(1+overshoot) +
// slack, less a reserve for requests that are charged after they were sent (Client.Charge). R takes the
// larger part of the overshoot as far as D can spare it, so that a tenant with a backlog gets its whole limit
// in every window.
//
// # Why outstanding covers what is held, across failover
//
//   - An increase is counted before the reply that carries it is made. A decrease is counted at the old value
//     until the gateway acknowledges a reply that carried it (or a later one); until then nobody else gets
//     the difference.
//   - A gateway's leases end at sent + leaseTTL by its own clock. The allocator counts them until last
//     contact + leaseTTL + clockDriftMargin by its clock, and a request is received after it was sent. Only
//     rates of clocks matter, not their values.
//   - A client has one request in flight at a time and takes only the reply to that one, and only within
//     replyTimeout. Its requests are numbered; the allocator ignores one that isn't newer than the last.
//   - A process that takes the reply to one of its requests ran after the allocator received that request. A
//     node runs one process at a time, so processes of the same node that were heard from before it are dead:
//     their leases are freed at once, and their requests are ignored from then on. (A first request proves
//     nothing: it may be a dead process's, delayed in the network.)
//   - An allocator that starts a term doesn't know what its predecessors leased. While it learns (Doorman's
//     learning mode, until leaseTTL + clockDriftMargin after its start) it counts all that may ever be leased
//     as unaccounted, less what gateways report to hold, which it then counts by name. Its pools start empty,
//     or at the recorded floors: levels below which its predecessor didn't let them fall. A pool then grants
//     what one that had never stopped could have granted.
//   - Where the nodes that may hold leases are recorded (the grantees: Start, MissingGrantees,
//     GranteesRecorded), no other node gets a lease, and nothing is unaccounted any more once a process of
//     each of these nodes has taken a reply of this term: it has reported what it holds, and what ran on its
//     node before it is dead. The record is replicated state; its keeper must ensure that no change by an
//     earlier allocator takes effect after Start.
//
// # Assumptions
//
// A monotonic clock gains or loses less than clockDriftMargin over leaseTTL. No two allocators are active at
// the same time, as judged at the moment that each passes to Request as now. The time between a client's
// decision and its request's arrival at a server falls into the window that the rule counts, as the client's
// own sending does.
//
// A limit that is lowered applies at the allocator from Configure on, and at each gateway from its own
// Configure on; leases that were larger end within leaseTTL at the latest.
//
// # Files
//
// The allocator: allocator.go (terms, requests), tenant_quota.go (a tenant's pool), lease_holder.go (who
// holds what, and when that is freed), reconcile.go (what holders report and acknowledge), lease_policy.go
// (how much is leased to whom), grantee_registry.go and floor.go (what is recorded for the next term),
// budget.go (how a limit is divided). The client: client.go (decisions on requests), client_request.go
// (exchange with the allocator), client_tenant.go (one tenant's tokens and demand). Both: bucket.go.
package quota

// Package quota enforces each tenant's rate limit (rate per second, burst) across all gateways together. It is
// a distributed token bucket made of two pure state machines: the Allocator, of which one is active in the
// whole system at a time, and a Client in each gateway. The package performs no I/O, reads no clock and elects
// no allocator: the callers pass in the time and transport the messages (internal/control/quotaservice and
// internal/gateway/quotaclient).
//
// # Algorithm
//
// The allocator keeps one token bucket per tenant, the pool. It distributes capacity in two ways:
//
//   - Tokens. A gateway requests single tokens as client requests need them. Tokens expire at most 250 ms
//     (maxTokenTTL) after the gateway sent its request for them, by the gateway's own clock.
//   - Leases. A part of the rate is leased to the gateways in proportion to their demand, for 3 s (leaseTTL).
//     A lease is a local token bucket with a rate and a depth that its holder spends from without asking the
//     allocator. It ends a fixed time after the holder sent the last request that was answered, again by the
//     holder's own clock. The leased rate and depth are subtracted from the pool's inflow and depth for as long
//     as any holder may still spend from the lease.
//
// Leases save messages in normal operation, and keep the tenants served while there is no allocator or it can't
// be reached.
//
// The scheme is that of leases (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency", 1989) on a bounded counter, where replicas hold parts of a global
// limit in escrow (O'Neil, "The escrow transactional method", 1986; Balegas et al., "Extending eventually
// consistent cloud databases for enforcing numeric invariants", 2015). The division by demand and the
// learning period of a new allocator are those of Doorman (YouTube's cooperative rate limiter). Unlike Doorman,
// an allocator that doesn't know all leases never overcommits: it grants only capacity that no holder unknown
// to it can have.
//
// # Invariant
//
// Let W be the window, R the granted rate, E the lifetime of tokens, and D the depth of the pool and all leases
// together. For any window [t, t+W], summed over all gateways, whether they are connected, partitioned, paused
// or dead:
//
//	spent <= D + R*E + R*W
//
// Proof. Pool tokens that are spent in the window were granted in [t-E, t+W]. Consider that interval, and the
// level of the pool plus the levels of all leases at its beginning. At any moment the rates and the depths that
// all gateways really hold sum to at most what the allocator counts as outstanding (tenantQuota.outstanding
// plus unaccounted). The pool is cut to D less the outstanding depth whenever more is leased, a new lease begins
// empty, and a lease that is raised keeps its level: so the levels at the beginning sum to D at most. The inflow
// into the pool is R less the outstanding rate, and the inflow into the leases is at most the outstanding rate:
// together at most R. Tokens spent from leases before t only lower the sum.
//
// newBudget chooses R, E and D so that D + R*E + R*W stays within the rule's bound (rate*W + burst)*(1+overshoot)
// + slack, less a reserve for requests that are charged after they were sent (Client.Charge). R takes the larger
// part of the overshoot, as far as D allows it, so that a tenant with a backlog gets its whole limit in every
// window.
//
// # Why outstanding covers all leases held, also across failovers
//
//   - An increase is counted before the reply that carries it is made. A decrease is counted at the old value
//     until the gateway acknowledges a reply that carried it (or a later reply); until then the difference isn't
//     granted to anybody else.
//   - A gateway's leases end at sent + leaseTTL by its own clock. The allocator counts them until last
//     contact + leaseTTL + clockDriftMargin by its clock, and it receives a request after the gateway sent it.
//     Only the rates of the clocks matter, not their values.
//   - A client has one request in flight at a time and accepts only the reply to that request, and only within
//     replyTimeout. Its requests are numbered; the allocator ignores a request that isn't newer than the last.
//   - A process that accepts the reply to one of its requests was running after the allocator received that
//     request. A node runs one process at a time, so processes of the same node whose last contact was before
//     that are dead: their leases are freed at once, and their requests are ignored from then on. (A first
//     request proves nothing: a dead process may have sent it, and the network delayed it.)
//   - An allocator that starts a term doesn't know what its predecessors leased. While it learns (Doorman's
//     learning mode, until leaseTTL + clockDriftMargin after its start) it counts all that may ever be leased
//     as unaccounted, less the leases that gateways report, which it counts as outstanding. Its pools start
//     empty, or at the recorded floors: levels below which the predecessor didn't let its pools fall. So a pool
//     grants only what the predecessor's pool could have granted if it had never stopped.
//   - Where the nodes that may hold leases are recorded (the grantees: Start, MissingGrantees,
//     GranteesRecorded), no other node gets a lease, and nothing is unaccounted any more once a process of
//     each of these nodes has accepted a reply of this term: it has reported the leases that it holds, and
//     earlier processes of its node are dead. The record is replicated state; the component that keeps it must
//     ensure that no change by an earlier allocator takes effect after Start.
//
// # Assumptions
//
// A monotonic clock gains or loses less than clockDriftMargin over leaseTTL. No two allocators are active at
// the same time, as judged at the time that each passes to Request as now. The time between a client's
// decision and its request's arrival at a server falls into the window that the rule counts, as the client's
// own sending does.
//
// A lowered limit applies at the allocator from its Configure call on, and at each gateway from the gateway's
// Configure call on; larger leases end within leaseTTL at the latest.
//
// # Files
//
// The allocator: allocator.go (terms, requests), tenant_quota.go (a tenant's pool), lease_holder.go (the leases
// of each gateway process, and when they are freed), reconcile.go (leases that holders report and acknowledge),
// lease_policy.go (sizes of leases), grantee_registry.go and floor.go (what is recorded for the next term),
// budget.go (division of a limit). The client: client.go (decisions on requests), client_request.go (exchange
// with the allocator), client_tenant.go (one tenant's tokens and demand). Both: bucket.go.
package quota

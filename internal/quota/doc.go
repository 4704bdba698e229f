// Package quota owns how the limit of a tenant (rate a second, burst) is shared by all gateways and never passed. It is two
// pure state machines: the Allocator, of which one acts at a time in the whole system, and a Client in each gateway. It does
// no input or output, reads no clock and chooses no allocator.
//
// # What is handed out
//
// The allocator keeps one token bucket a tenant, the pool, from which gateways ask for single tokens as requests need them.
// Tokens expire shortly after the request for them was sent, by the asker's steady clock. A part of the rate is lent to the
// gateways in proportion to their demand: a lease is a local bucket (rate F, depth D) that its gateway spends from without
// asking, until it ends a fixed time after the last answered request was sent, again by the asker's clock. What is lent is
// taken off the pool's inflow for as long as any holder may still spend it. Leases save messages in calm, and carry the
// tenants while there is no allocator or it can't be reached.
//
// # The bound
//
// Let W be the window, R the rate that is granted, E the expiry of tokens and D the depth of the pool and all leases together.
// For any window [t, t+W], summed over all gateways, whether they are in touch, cut off, frozen or gone:
//
//	spent <= D + R*E + R*W
//
// Tokens of the pool that are spent in the window were granted in [t-E, t+W]. Look at that time, and at the level of the pool
// plus the levels of all leases at its beginning. At any moment the sums over all gateways of the rates and of the depths that
// are really held are at most what the allocator counts as committed, lentRate(now) and lentDepth(now). The pool is cut to
// D - lentDepth(now) whenever more is lent, a new lease begins empty and a raised one as full as it was, so the levels sum to D
// at most at the beginning, and what flows in is R - lentRate(now) into the pool and at most lentRate(now) into the leases: R
// together. What was spent from leases before t only lowers the sum.
//
// budgetOf chooses R, E and D so that the sum stays within (rate*W + burst)*(1+overshoot) + slack, less a reserve for requests
// that are charged after they were sent (Client.Charge). R takes the larger part of the overshoot where D can spare it: tenants
// that press are owed their whole limit in every window.
//
// Committed covers really held:
//   - A raise is committed before the reply that tells it is made. A cut stays committed at the old value until the gateway
//     acknowledges having taken a reply that told it (or a later one), and until then the room isn't lent to others.
//   - A gateway's leases end at sent + leaseFor; the allocator counts them until heard + leaseFor + clockMargin, and heard is
//     never before sent. Only rates of clocks matter, not their values.
//   - A client has one request out at a time and takes only the reply to it, and only for maxReplyAge. Its requests are
//     numbered; the allocator passes over one that isn't newer than the last.
//   - A process that takes the reply to one of its requests ran after that request was heard; processes of the same node that
//     were heard before it are dead: their leases are free at once, and their requests are passed over from then on.
//   - An allocator that starts doesn't know what its predecessors lent. It counts all that may be lent (maxLentRate, maxLent) as
//     held by unknown gateways until leaseFor has passed since its start, less what gateways that it hears tell of their
//     leases, which it then counts by name. Its pools start empty, or at the floors on record, below which
//     its predecessor didn't let them fall: the pool then grants what one that had gone on could have granted.
//   - Where the nodes to which anything may be lent are on record (Recorded, Start), nothing is lent to others, and nothing is
//     unknown any more once a process of each of those nodes has taken a reply of this term: it has told what it holds, and
//     what ran on its node before it is dead. The record is agreed state; whoever keeps it must see to it that no change by an
//     earlier allocator takes effect after Start.
//
// Assumptions: a steady clock gains or loses less than clockMargin over leaseFor; no two allocators act at the same time, as
// judged at the moment that each passes to Request as now; the time between a client's decision and its request's arrival at a
// server falls into the window that the rule counts, as the client's own sending does.
//
// A limit that is lowered holds at the allocator from Configure on, and at each gateway from its own; leases that were larger
// end within leaseFor at the latest.
package quota

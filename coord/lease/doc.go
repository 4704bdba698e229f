// Package lease implements leases with fencing tokens: exclusive rights for a limited time.
//
// A lease is a contract that gives its holder a right to a resource until a time-out: Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989). The holder
// renews it for as long as it needs the resource; if the holder fails or can't be reached, the right expires.
// Sessions of Chubby (Burrows, "The Chubby lock service for loosely-coupled distributed systems", 2006) and
// keys with a time to live in etcd are leases.
//
// # Parts
//
//   - A Granter gives each resource to one holder at a time. Exactly one granter of a system may be active at
//     any time; the system elects it (see coord/leader).
//   - A Holder is the holder's side of one lease. The holder checks with it, directly before each operation,
//     whether the lease is still valid.
//   - A Fence belongs to the resource. It rejects operations under a grant older than the newest that it has
//     seen.
//
// These types read no clock and send nothing. The caller passes the time of a monotonic clock as the duration
// since any fixed moment, and transports requests and grants. None of the types is safe for concurrent use.
//
// # Time
//
// Granter and holder never compare clocks, only durations. The holder counts a lease's duration from the time
// at which it sent the request, the granter from the time at which it answers. The request is sent before it is
// answered, so the holder's right ends first, as long as the two clocks run at the same rate.
// GranterOptions.DriftAllowance bounds the permitted difference: if the rates of the clocks differ by at most a
// fraction r, it must be at least r times MaxDuration. Gray and Cheriton require the same bound on drift.
// Clocks that jump aren't covered, because monotonic clocks don't jump.
//
// # Fencing
//
// A holder may be paused between Holder.Valid and the operation for longer than the lease lasts. No clock can
// prevent that. So each grant has a Token that is higher than all tokens before it; the holder sends it along
// with each operation, and the resource's Fence rejects a token lower than the highest that it has seen. Chubby
// calls such a number a sequencer; the name fencing token is from Kleppmann, "How to do distributed locking"
// (2016). The upper half of a token is the granter's epoch, so that tokens increase across all granters of a
// system.
//
// # Failover of the granter
//
// A granter keeps its leases in memory only. Its successor doesn't know them, and rejects all requests until
// the longest lease that could have been granted has ended. This grace period corresponds to that of a
// recovering server in Gray and Cheriton.
package lease

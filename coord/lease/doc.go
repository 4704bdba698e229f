// Package lease grants exclusive rights for a time, with fencing tokens.
//
// A lease is a contract that gives its holder a right to a resource until a time-out: Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989). The holder
// renews it for as long as it needs the resource; if the holder fails or can't be reached, the right ends by
// itself. Sessions of Chubby (Burrows, "The Chubby lock service for loosely-coupled distributed systems",
// 2006) and keys with a time to live in etcd are leases.
//
// # Parts
//
//   - A Granter gives each resource to one holder at a time. Exactly one granter of a system may be at work
//     at any time; the system elects it (see coord/leader).
//   - A Holder is the holder's side of one lease: it tells, right before each act, whether the lease is still
//     valid.
//   - A Fence belongs to the resource. It rejects acts under an older grant than the newest that it has seen.
//
// All of them are pure: they read no clock and send nothing. The caller passes the time of a monotonic clock
// as the duration since any fixed moment, and carries requests and grants. None of them may be used by
// several goroutines at once.
//
// # Time
//
// The two sides never compare clocks, only durations. The holder counts a lease's duration from the moment at
// which it sent the request, the granter from the moment at which it answers. The request is sent before it
// is answered, so the holder's right ends first, as long as the two clocks run at the same rate.
// GranterOptions.DriftAllowance bounds how much they may differ: with clocks whose rates differ by at most a
// share r, it must be at least r times MaxDuration. Gray and Cheriton ask for the same bound on drift. Clocks
// that jump aren't covered: monotonic clocks don't.
//
// # Fencing
//
// A holder may be paused between Holder.Valid and its act, for longer than the lease lasts. No clock helps
// against that. So each grant has a Token higher than all before it; the holder sends it along with each act,
// and the resource's Fence rejects a token lower than the highest that it has seen. Chubby calls such a
// number a sequencer; the name fencing token is from Kleppmann, "How to do distributed locking" (2016). The
// upper half of a token is the granter's epoch, so that tokens rise over all granters of a system.
//
// # Failover of the granter
//
// A granter keeps its leases in memory only. The next one doesn't know them, and rejects all requests until
// the longest lease that could have been granted has ended: its grace period, as a recovering server's in
// Gray and Cheriton.
package lease

// Package liveness tracks which gateways and batch processes are alive, as one control process knows it, and
// decides which batch processes join the store membership and which are suspected, evicted or retired.
//
// # Concepts
//
// A process is alive while it polls. A poll is received here, or by another control process that reports it;
// the newest one of each process is its last contact ([Contact]). [Table] keeps the contacts, and when each
// of the other control processes reported last.
//
// Only the leader of the chain decides ([Table.SetLeadership]); the methods that decide return nothing
// elsewhere. Their results are commands for the state machine, which checks them against the agreed state
// once more.
//
// # Eviction
//
// A batch process acts under a lease of [StoreLease] that each answered poll renews. It must not be evicted
// while it may hold one, also where a control process has granted a lease that was not reported to the leader
// yet. So the leader evicts a member in steps, as SWIM does:
//
//  1. The member has not polled for [SuspectAfter], and all other control processes have reported recently: a
//     suspicion is committed. From then on control processes grant it no lease.
//  2. The suspicion has lasted for [StoreLease], and the member has not polled for [EvictAfter]: it is
//     evicted. A poll in between ends the suspicion.
//
// A new leader waits for [EvictAfter] before it evicts anyone: polls before its term may not have reached it.
//
// # Time
//
// The package is pure: time is an argument, a duration since the control process's start by its monotonic
// clock. The package grants nothing itself.
package liveness

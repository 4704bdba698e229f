// Package liveness tracks which gateways and batch processes are alive, as known to one control process, and
// decides which batch processes join the store membership and which are suspected, evicted or retired.
//
// # Concepts
//
// A process is alive while it polls. A poll is received by this control process, or by another one that reports
// it; the newest poll of each process is its last contact ([Contact]). [Table] holds the contacts, and the time
// of the last report of each other control process.
//
// Only the leader of the chain makes decisions ([Table.SetLeadership]); on other processes the deciding methods
// return nothing. The results become commands for the state machine, which checks them again against the agreed
// state.
//
// # Eviction
//
// A batch process acts under a lease of length [StoreLease] that each answered poll renews. It must not be
// evicted while it may hold a lease, including one that another control process has granted and not yet
// reported to the leader. So the leader evicts a member in steps, as SWIM does:
//
//  1. The member has not polled for [SuspectAfter], and all other control processes have reported recently: a
//     suspicion is committed. Control processes that know the suspicion grant the member no lease.
//  2. The suspicion has lasted for [StoreLease], and the member has not polled for [EvictAfter]: it is
//     evicted. A poll in between ends the suspicion.
//
// A new leader waits for [EvictAfter] before it evicts any member, because polls from before its term may not
// have been reported to it.
//
// # Time
//
// The package reads no clock and does no I/O: time is an argument, a duration since the control process's start
// by its monotonic clock. The package itself grants no leases.
package liveness

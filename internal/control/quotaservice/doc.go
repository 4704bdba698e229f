// Package quotaservice runs the quota allocator (package quota) in a control process, and ensures that at
// most one allocator in the system grants quota at a time.
//
// # When a process may grant
//
// The allocator acts only while its process is the proven head of the chain and the grantor on record. The grant
// record is part of the replicated state (package statemachine). It contains the grantor, the nodes that may hold
// grants, and the floors of the tenants' pools.
//
// To become the grantor, a head proposes a change of the record ([Service.NextChange]). It may do so immediately if
// no other process can be acting: if the grantor on record has released its role, if there was no grantor yet, or if
// the grantor was an earlier incarnation on the same disk. Otherwise it waits until the leader lease of the previous
// head has ended ([Leadership].LeaderLease). The change names the grantor that it takes over from, and has no effect
// if another grantor is on record when it is applied.
//
// A gateway's node is added to the record before the allocator leases any rate to it, so that the next grantor can
// account for every lease that may still be held.
//
// # Invariants
//
//   - The periods in which allocators answer, each measured by the allocator's own clock, don't overlap between
//     processes.
//   - The clock is read before the leadership is checked, never afterwards. If the process is paused in between, the
//     answer can only refer to an earlier time.
package quotaservice

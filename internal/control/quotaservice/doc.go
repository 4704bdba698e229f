// Package quotaservice runs the quota allocator (package quota) in a control process, and ensures that at
// most one allocator in the system grants quota at a time.
//
// # When a process may grant
//
// The allocator acts while its process is the proven head of the chain and is the grantor on record. The
// grant record is agreed state (package statemachine); it names the grantor, the nodes that may hold grants,
// and the floors of the tenants' pools.
//
// To become the grantor a head proposes a change of the record ([Service.NextChange]). It may do so at once
// if no other process can be acting: the grantor on record has released its role, there was none, or it was
// an earlier incarnation on the same disk. Else it waits until the leader lease of the head before has ended
// ([Leadership].LeaderLease). The change names the grantor that it takes over from and has no effect if the
// record names another one by then.
//
// A gateway's node is put on record before the allocator leases any rate to it, so that the next grantor can
// count every lease that may still be held.
//
// # Invariants
//
//   - The times at which allocators answer, as each reads its clock, don't overlap between processes.
//   - The clock is read before the leadership and never after it: a pause in between can only make an answer
//     older.
package quotaservice

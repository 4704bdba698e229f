// Package leader runs singleton roles: functions that at most one node of a system may execute at a time.
//
// # Parts
//
//   - A Source provides this node's leader lease: whether this node is the leader, and until when no other node
//     can be. coord/replica.Node is a Source. Its leader is the head of the chain, which renews its lease by
//     the answers of a majority of the voters (see coord/view); the lease is timed by its holder's own clock
//     (see coord/lease).
//   - An Election is the state machine without I/O: it derives the starts and stops of a role from the source's
//     leases. It reads no clock.
//   - A Runner drives an Election: it polls the source, runs the role in a goroutine and cancels it.
//   - A Term is one uninterrupted leadership of this node. The role calls Term.Valid directly before each
//     operation that only one node may execute. Cancellation of the context alone isn't enough: after a pause
//     of the process the role may continue before the runner has noticed that the lease has ended.
//
// # Safety
//
// A Term is valid only while the source's lease of its epoch is valid. Epochs increase from leader to leader,
// so that the effects of a role outside of this process can be fenced by Term.Epoch (fencing tokens: see
// coord/lease). A role is started only after its previous run has returned, so that this process never runs it
// twice at the same time.
//
// # How leadership moves
//
// Planned: Runner.Resign stops the role, waits until it has returned, and makes the source hand over the
// leadership, so that the next leader needn't wait for the lease to end. Raft's leadership transfer has the
// same purpose (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
//
// Unplanned: the lease of this node ends because the majority no longer renews it. The voters agree on a view
// with another head, which waits until the old lease has ended before it acts as leader.
package leader

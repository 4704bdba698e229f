// Package leader runs singleton roles: functions that one node of a system at a time may carry out.
//
// # Parts
//
//   - A Source says whether this node is the leader, and until when no other node can be: its leader lease.
//     coord/replica.Node is one. Its leader is the head of the chain, which renews its lease by the answers
//     of a majority of the voters (see coord/view); the lease is timed by its holder's own clock (see
//     coord/lease).
//   - An Election is the pure core: it turns the source's leases into starts and stops of a role. It reads no
//     clock.
//   - A Runner carries an Election: it polls the source, runs the role in a goroutine and cancels it.
//   - A Term is one uninterrupted leadership of this node. The role asks Term.Valid right before each act
//     that only one node may do. The cancelled context alone isn't enough: after a pause of the process the
//     role may go on before the runner has noticed that the lease has ended.
//
// # Safety
//
// A Term is valid only while the source's lease of its epoch is. Epochs rise from leader to leader, so that
// what a role leaves behind elsewhere can be fenced by Term.Epoch (fencing tokens: see coord/lease). A role
// is started only after the one before has returned, so that this process never runs it twice at a time.
//
// # How leadership moves
//
// Planned: Runner.Resign stops the role, waits until it has returned, and has the source hand the leadership
// over, so that the next leader needn't wait for the lease to end. Raft's leadership transfer has the same
// purpose (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
//
// Unplanned: the lease ends here because the majority doesn't renew it any more. The voters agree on a view
// with another head, which waits out the old lease before it acts.
package leader

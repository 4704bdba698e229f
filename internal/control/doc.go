// Package control assembles a control process. A few control processes form the control plane: they agree on
// the operator's configuration, the store membership and the grantor of quota, and provide gateways and batch
// processes with what they need.
//
// # Parts
//
//   - coord/replica keeps the replicated log (chain replication with a view service of its own); package
//     statemachine is what the log's commands are applied to.
//   - Package operatorapi is the HTTP API of the operator.
//   - Package liveness knows which gateways and batch processes poll, here and at the other control
//     processes, and decides which batch processes join the store membership and which are evicted from it.
//   - Package quotaservice is the allocator of quota, at the head of the chain.
//   - Package discovery reads the platform's list of servers.
//
// The parts decide; this package connects them, and carries what they need between the processes. It takes no
// decision of its own that another control process could take differently: such decisions are commands of the
// state machine.
//
// # Subscriptions
//
// Gateways and batch processes keep a connection to one control process and poll it every
// protocol.PollInterval. What a subscriber lacks is pushed: the configuration, the server list, the member
// list. The answer to a poll says whether the control process confirms its state, and up to which age
// (confirmation.go). A subscriber that gets no such answer turns to another control process. For batch
// processes the answer carries the lease under which they may act.
//
// # Singleton roles
//
// The process that leads the chain keeps the store membership (storemembership.go) and the grant record
// (grants.go): it proposes a command whenever the agreed state doesn't fit what it knows. That the leader is
// the only one is assured by its leader lease; that a late command does no harm, by the state machine, which
// checks the epoch or the number that each command names.
//
// To evict a batch process only after its lease has ended, the leader needs the polls that other control
// processes have received. Each reports them to the leader (peers.go, peersessions.go), and as long as one
// member of the chain doesn't report, no batch process is evicted.
//
// # Invariants
//
//   - State is confirmed to subscribers only while the chain's last proof of freshness is at most
//     maxStaleness old.
//   - No batch process leaves the store membership while it may hold a lease.
//   - After a process pause, nothing that was sent before it is processed (pause.go).
package control

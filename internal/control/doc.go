// Package control assembles a control process. A few control processes form the control plane: they agree on
// the operator's configuration, the store membership and the grantor of quota, and provide gateways and batch
// processes with what they need.
//
// # Parts
//
//   - coord/replica keeps the replicated log, by chain replication with a built-in view service. Package
//     statemachine applies the log's commands.
//   - Package operatorapi is the HTTP API of the operator.
//   - Package liveness tracks which gateways and batch processes poll this process or another control
//     process, and decides which batch processes join the store membership and which are evicted from it.
//   - Package quotaservice is the allocator of quota, at the head of the chain.
//   - Package discovery reads the platform's list of servers.
//
// The decisions are made in these packages. This package connects them and exchanges the data that they need
// with other processes. It makes no decision that another control process could make differently: such
// decisions are commands of the state machine.
//
// # Subscriptions
//
// Gateways and batch processes keep a connection to one control process and poll it every
// protocol.PollInterval. Changes of the configuration, the server list and the member list are pushed to the
// subscribers that don't have them yet. The answer to a poll says whether the control process confirms its
// state, and how old that state may be (confirmation.go). A subscriber that gets no confirmation switches to
// another control process. For batch processes the answer carries the lease under which they may act.
//
// # Singleton roles
//
// The process that leads the chain maintains the store membership (storemembership.go) and the grant record
// (grants.go): it proposes a command whenever the agreed state differs from what it observes. The leader lease
// ensures that there is only one leader. A late command does no harm, because the state machine checks the
// epoch or the number that each command names.
//
// To evict a batch process only after its lease has ended, the leader needs the polls that other control
// processes have received. Each of them reports its polls to the leader (peers.go, peersessions.go). As long
// as one member of the chain doesn't report, no batch process is evicted.
//
// # Invariants
//
//   - State is confirmed to subscribers only while the chain's last proof of freshness is at most
//     maxStaleness old.
//   - No batch process leaves the store membership while it may hold a lease.
//   - After a process pause, nothing that was sent before it is processed (pause.go).
package control

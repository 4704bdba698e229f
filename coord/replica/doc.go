// Package replica replicates control state by chain replication over a few machines with a disk, and distributes
// it to any number of nodes without a disk.
//
// # Use
//
// The state is a chain.StateMachine: a deterministic type that applies commands and whose state can be copied as
// a snapshot. Each process calls Start, which returns its Node.
//
//   - Node.Propose proposes a command, from any node, and returns its result once it is applied.
//   - Node.Read waits until the local state machine has applied every command acknowledged before the call.
//     The caller then reads its own state machine.
//   - Node.Staleness returns a bound on the staleness of the local state, without sending a message.
//   - Node.LeaderLease reports whether this node holds the leader lease, and until when. Singleton roles depend
//     on it; see coord/leader.
//   - Node.HandOver takes the node out of the chain in a planned departure, before its process ends.
//
// # Guarantees
//
// An acknowledged command (Propose returned nil) is on the synced disks of the whole chain, which has at
// least Tolerance + 1 members. It survives the loss of Tolerance disks combined with a power loss on all the
// other machines.
//
// A command is applied once for each ID, even when it is proposed again through another node after a view
// change: the outcomes of the latest 4,096 commands (chain.DeduplicationWindow) are kept for this purpose. A
// message that is delivered after its command has left this window doesn't cause the command to be applied
// again, however late it arrives; only a caller that proposes the same ID again that late does.
//
// Reads are linearizable. ErrUnavailable means that the command never left this node; ErrUncertain means that
// it may be applied at any time, or never.
//
// A chain of Tolerance members or fewer accepts no commands, and a minority of the voters can commit no command,
// answer no read and decide no view: partitions and losses beyond these bounds cost availability, never
// consistency.
//
// # Replication
//
// This is chain replication (van Renesse and Schneider, 2004). The head appends commands to its log. Each
// member makes all pending commands durable with one sync and then sends them to its successor. A command that
// is durable at the tail is on all disks, hence committed. Acknowledgements travel back up the chain with the
// commit index, and each member applies the commands up to it.
//
// There are two differences from the paper: any node may serve reads, once its epoch was confirmed after the start
// of the read, instead of the tail alone; and the members agree on the next chain themselves, instead of asking a
// master.
//
// Nodes outside of the chain are learners. Each learner polls one chain member for committed commands; between
// the polls, that member pushes new commands to it. Every node learns the outcomes of its callers' commands
// from its own state machine.
//
// # Views
//
// Package coord/view decides the members of the chain, one view after another, as Vertical Paxos does (Lamport,
// Malkhi and Zhou, 2009): each view is numbered by an epoch, and the voters of one view decide the next view by
// single-decree Paxos. The package comment of coord/view contains the safety argument. A voter that answers a
// prepare is wedged: it appends and acknowledges nothing more in its epoch, so that its answer remains an
// accurate description of its log.
//
// After a decision, every member of the new chain replaces the end of its log by the prefix of the view's
// source, in one durable step. If the two logs have a common part, only the difference is sent. Nothing
// commits before the whole chain has the prefix, because a member sends commands of an epoch to its successor
// only while it and all its predecessors have the prefix.
//
// # Failure detection
//
// Machines with a disk exchange heartbeats every 200 ms. Each heartbeat lists the voters that its sender
// reaches. A member without contact for 700 ms is suspected. The next view, which the neighbours of the
// suspected member are the first to propose, excludes it. A member that returns is added to the chain once all
// chain members reach it. A link that fails in one direction, or between two members only, matters only if the
// chain uses it: commands are relayed around it by a member that reaches both ends.
//
// A process that finds a gap of more than 400 ms between its ticks assumes that it was paused itself: it
// restarts all time-outs at that moment, so that it doesn't suspect other members because of its own pause,
// abandons its proposal of a view, and drops the forwarded commands that were queued during the pause.
//
// # Reads, staleness and the leader lease
//
// Each heartbeat echoes the newest heartbeat received from its addressee. From the echoes a member learns,
// without further messages, the latest moment at which a majority of the voters was in its epoch and not
// wedged. No later view was decided before that moment, hence everything acknowledged before it is in the
// member's log. Reads, Node.Staleness and the leader lease (Gray and Cheriton, 1989) depend on this; a read
// triggers an urgent round of heartbeats to obtain a recent confirmation. All durations are measured on the
// monotonic clock of one process; the time of day isn't used.
//
// # Members
//
// A member is identified by an address and the incarnation of its disk. A machine with an empty disk draws a
// new random incarnation, and is a different member than before: it has no vote and asks to join. It then
// replaces its previous incarnation or a voter that has been absent for long, or fills a vacant place if there
// are fewer than 2 x Tolerance + 1 voters. Only the founders, at the first start of the system, have the
// incarnation "genesis". A node without a disk is a learner.
//
// If a disk refuses a write, its member is out of service until the disk accepts writes again. A disk that has
// lost data that it had acknowledged is emptied.
//
// # Structure
//
// The protocol is a pure state machine, core: its inputs are messages and time, its outputs records and
// messages. The driver of a core makes the records durable first, and then sends the messages. Node is the
// driver in production, with sockets (coord/transport), a disk (coord/slots) and the monotonic clock; it runs
// the core on one goroutine. The files contain:
//
//   - core.go: the core's state, and the dispatch of inputs; timing.go and limits.go: its constants
//   - replication.go: replication of commands along the chain, and commit
//   - prefix.go: transfer of the prefix of an epoch
//   - view.go: adoption of a decided view
//   - reconfiguration.go: reasons to change the view, and the members of the next view
//   - proposer.go: proposal and decision of a view
//   - failure_detector.go: heartbeats, liveness and reachability of members
//   - lease.go: epoch confirmation, staleness proofs and the leader lease
//   - reads.go, proposals.go: callers' reads and commands
//   - learner.go: replication to nodes outside of the chain
//   - discovery.go, departure.go: discovery of the view, and planned departure of a member
//   - checkpoint.go, disk.go, store.go: the durable state, its encoding, and recovery of the disk
//   - messages.go, network.go: the messages between nodes, and their transport
//   - api.go, options.go, errors.go, start.go, node.go, status.go: Node and its public API
//
// The tests run cores in a simulated cluster in virtual time, with the real store on simulated disks.
// faults_test.go lists the faults: killed, wiped, paused, partitioned, departing and replaced machines,
// interrupted prefix transfers, and members that miss hundreds of commands; the next fault may follow as soon
// as the chain is complete. invariants_test.go contains the invariants that are checked at each step, and
// injected_bugs_test.go the bugs that the simulation must detect. SEEDS=N runs N seeds, FIRST=S begins at seed
// S, and TRACE=1 prints the whole trace of a failing run.
package replica

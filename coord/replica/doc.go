// Package replica keeps control state by chain replication over a few machines with a disk, and carries it to
// any number of nodes without one.
//
// # Use
//
// The state is a chain.StateMachine: a deterministic type that applies commands and that can be copied as a
// snapshot. Start returns a Node in each process.
//
//   - Node.Propose has a command applied, from any node.
//   - Node.Read waits until the local state machine has applied all that was acknowledged before the call.
//     The caller then reads its own state machine.
//   - Node.Staleness bounds how stale the local state is, without sending a message.
//   - Node.LeaderLease tells whether this node holds the leader lease, and until when. Singleton roles depend
//     on it; see coord/leader.
//   - Node.HandOver leaves the chain as planned, before a process ends.
//
// # Guarantees
//
// An acknowledged command (Propose returned nil) is on the synced disks of the whole chain, which has at
// least Tolerance + 1 members. It survives the loss of Tolerance disks together with a loss of power of all
// the others.
//
// A command is applied once for each ID, also when it is proposed again through another node over a change of
// the view: the outcomes of the latest 4,096 commands (chain.DeduplicationWindow) are kept for that. Beyond
// this window no message brings a command in again, however late it arrives; only a caller can, by proposing
// the same ID again that late.
//
// Reads are linearizable. ErrUnavailable means that the command never left this node; ErrUncertain means that
// it may be applied at any time, or never.
//
// A chain of Tolerance members or fewer takes no commands, and a minority of the voters can do nothing:
// partitions and losses beyond these bounds cost availability, never consistency.
//
// # Replication
//
// This is chain replication (van Renesse and Schneider, 2004). The head appends commands to its log. Each
// member makes all pending commands durable with one sync, and passes it on; what is durable at the tail is
// on all disks, hence committed. Acknowledgements travel back up the chain with the commit index, and each
// member applies up to it.
//
// Where we depart from the paper: any node may read, after a proof of its epoch, instead of the tail alone;
// and the members agree on the next chain themselves, instead of asking a master.
//
// Nodes outside of the chain are learners. Each polls one chain member for committed commands, which pushes
// new ones between the polls. Every node learns the outcomes of its callers' commands from its own state
// machine.
//
// # Views
//
// Package coord/view decides who forms the chain, one view after another, as Vertical Paxos does (Lamport,
// Malkhi and Zhou, 2009): an epoch numbers a view, and the voters of one view decide on the next by
// single-decree Paxos. Its package comment holds the safety argument. A voter that answers a prepare is
// wedged: it appends and acknowledges nothing more in its epoch, so that the answer stays a true description
// of its log.
//
// After a decision, every member of the new chain replaces the end of its log by the prefix of the view's
// source, in one durable step. Where the logs have a common part, only the difference is sent. Nothing
// commits before the whole chain has the prefix, because a member passes commands of an epoch on only while
// it and all its predecessors have it.
//
// # Failure detection
//
// Machines with a disk exchange heartbeats every 200 ms, each with the list of those that the sender reaches.
// A member without contact for 700 ms is suspected, and left out by the next view, which its neighbours
// propose first. A member that returns is let in once all of the chain reaches it. A link that is broken in
// one direction, or between two members only, matters only where the chain uses it: commands go around it, by
// way of a member that reaches both ends.
//
// A process that finds a gap of more than 400 ms between its ticks was paused itself: it measures all
// time-outs anew from there, so that it suspects no member for its own pause, abandons its proposal of a
// view, and drops forwarded commands that it finds waiting.
//
// # Reads, staleness and the leader lease
//
// Each heartbeat echoes the newest one received from its addressee. So a member learns, without further
// messages, up to when a majority of the voters was in its epoch and not wedged. No later view was decided
// before that moment, hence everything acknowledged before it is in the member's log. Reads, Node.Staleness
// and the leader lease (Gray and Cheriton, 1989) rest on this; a read asks for it with an urgent round of
// heartbeats. All durations are of the steady clock of one process; the time of day plays no part.
//
// # Members
//
// A member is an address with the incarnation of its disk. A machine with an empty disk draws a new
// incarnation, and is another member than before: it has no vote, asks to join, and takes the place of its
// previous incarnation, of a voter that is absent for long, or of one that is missing to 2 x Tolerance + 1.
// Only the founders, at the very first start, have the incarnation "genesis". A node without a disk is a
// learner.
//
// A disk that refuses a write takes its member out of service until it takes bytes again. A disk that has
// lost data that it had acknowledged is emptied.
//
// # Structure
//
// The protocol is a pure state machine, core: messages and time go in, records and messages come out. Its
// carrier makes the records durable first, and then sends the messages. Node carries it with sockets
// (coord/transport), a disk (coord/slots) and the steady clock, on one goroutine. A file answers one
// question:
//
//   - core.go: what a core is made of, and how inputs reach its parts; timing.go and limits.go: its constants
//   - replication.go: how commands go down the chain and commit
//   - prefix.go: how a member gets the prefix of its epoch
//   - view.go: what a decided view changes
//   - reconfiguration.go: when there should be another view, and of which members
//   - proposer.go: how one is proposed and decided
//   - failure_detector.go: who is alive and reachable
//   - lease.go: what a confirmed epoch proves
//   - reads.go, proposals.go: what happens to callers' reads and commands
//   - learner.go: how nodes outside of the chain follow
//   - discovery.go, departure.go: how a node finds the view, and how a member leaves
//   - checkpoint.go, disk.go, store.go: what is durable, how it is encoded, and when it is recovered
//   - messages.go, network.go: what nodes send, and how
//   - api.go, options.go, errors.go, start.go, node.go, status.go: the carrier and its callers' view
//
// The tests carry the core through a simulated cluster in virtual time, with the real store on simulated
// disks. faults_test.go lists the faults: killed, wiped, paused, partitioned, departing and replaced
// machines, prefix transfers that are interrupted, members that miss hundreds of commands; the next fault may
// come as soon as the chain is complete. invariants_test.go holds what must be true at each step, and
// injected_bugs_test.go the bugs that the simulation must find. SEEDS=N runs N seeds, FIRST=S begins at seed
// S, and TRACE=1 prints the whole trace of a failing run.
package replica

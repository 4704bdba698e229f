// Package view implements agreement on the membership of a replicated chain: which members vote on the next
// view, which voters form the chain of the current view, and which member's log that chain starts from.
//
// The package performs no I/O: it opens no socket or file, reads no clock and starts no goroutine. The caller
// transports the messages, and writes an Acceptor's state durably before it sends the response that depends on
// it; coord/replica does both.
//
// # Concepts
//
//   - A Member is one incarnation of a machine's disk. A machine whose disk was lost comes back as another
//     Member.
//   - A View is one configuration of the system, numbered by its epoch: voters, chain, and the source whose log
//     the other members of the chain copy first. Views are immutable, and each epoch has at most one.
//   - An Acceptor is a voter's state in the agreement, and a Proposal is one attempt of a proposer. Planner
//     computes the value to propose; ChooseSource restricts it to safe values.
//   - A member is wedged once it has answered a prepare or an accept in its epoch. Until it learns of a
//     decision it takes no further part in that epoch: it neither accepts, forwards nor acknowledges commands,
//     and copies no prefix, so that its log doesn't change.
//   - A member is synced in an epoch if its log is a complete prefix: it holds every command that was committed
//     in earlier epochs. LogState.Synced is the highest epoch in which the member was synced.
//
// # Agreement
//
// The sequence of views is a compare-and-set register: the view of epoch e+1 replaces only the view of epoch e.
// Each step is one instance of single-decree Paxos (Lamport, "The Part-Time Parliament", 1998, and "Paxos Made
// Simple", 2001) in which the voters of e are the acceptors. The rule that a membership decides on its own
// successor is from Lamport, Malkhi and Zhou, "Reconfiguring a State Machine" (2010). The separation of a
// majority that agrees on configurations from a configuration that replicates with a write-all quorum is from
// their "Vertical Paxos and Primary-Backup Replication" (2009). CASPaxos (Rystsov, "CASPaxos: Replicated State
// Machines without logs", 2018) keeps such a register in one instance permanently. Here each epoch has a
// separate instance, so that the set of acceptors never changes while an instance runs.
//
// The view of GenesisEpoch needs no agreement: every process derives the same one from the same seeds.
//
// A lost disk can't break a promise: the machine comes back with another incarnation, so it is another member
// and not a voter. Hence any two majorities of the voters of e share a member that remembers its promise and
// its vote.
//
// # What the next chain starts from
//
// A command of epoch e is committed when every member of the chain of e has it on its disk (van Renesse and
// Schneider, "Chain Replication for Supporting High Throughput and Availability", 2004), and none commits
// before all of them are synced in e. A member that is not the source becomes synced by the copy of the
// source's prefix; the source is synced as soon as it adopts its view. The safety argument rests on this
// invariant:
//
//	(I) The log of a member with Synced = x holds every command committed in epochs below x, and
//	    every command that was or will be committed in x.
//
// A proposer needs prepare responses from a majority of the voters of e. It examines the epochs in which the
// last command may have been committed, newest first: e, then the Terms of the view of e. For each such epoch x
// there are two cases.
//
// A. A responder in the chain of x has Synced < x. It wasn't synced in x and can no longer become synced in x,
// because it is wedged in x or has left it. So nothing was or will be committed in x, and the next older term
// is examined.
//
// B. No responder in the chain of x has Synced < x. The responders with Synced >= x hold everything committed
// in epochs up to x, by (I) and because they are wedged in x or have left it; the epochs above x were shown to
// have committed nothing. The responder among them with the most up-to-date log becomes the source, with
// SourceEpoch = x. However many views follow each other before one is synced, the logs that were synced in
// SourceEpoch remain sufficient. If no responder has Synced >= x, the responses prove nothing, and the proposer
// waits for more responses.
//
// If all members of the chain of x have responded with Synced >= x, there are more of them than disks may be
// lost, and no later proposer can find case A for x: x is the only term of the next view. Otherwise the older
// terms stay in Terms. Perhaps only the source of x was ever synced in x; if its disk is lost, another member
// of the chain of x leads to case A, and the logs that were synced in the next older term are used again. The
// oldest term is used even if case A applies to it. This covers a source that fails before the others have its
// prefix, and members that learn of a decision late.
//
// The source has answered a prepare of epoch e, so its log doesn't change until it adopts e+1: it is then still
// the log that the proposer examined, even if another proposer completes the decision. A member that copies the
// prefix replaces its own log in one durable step, so that it never holds parts of both logs.
//
// # The next loss
//
// Planner computes the voters and the chain of the next view. It follows two rules, without which one loss
// could leave a majority that can never form a view again. First, a chain has more members than disks may be
// lost, even while some of its members are about to leave, so that one member remains whose log shows what the
// chain committed. Second, a voter that is merely unreachable keeps its vote until enough of the next voters
// hold everything without it.
//
// The system tolerates the loss of any Tolerance disks, even together with a loss of power of all machines,
// once all of these hold: a view is decided, none of its voters is wedged in it, it has 2 x Tolerance + 1
// voters, all with the disk that they vote with, and Tolerance + 1 members of its chain are synced in it. The
// remaining machines then form a view that serves and holds every acknowledged command. The membership model
// checker in this package's tests checks these losses in every state that it reaches.
//
// # Reads
//
// A decision on e+1 needs prepare responses from a majority of the voters of e. A process that queries all
// voters of e after a time t, and learns from a majority that they are not wedged in e, knows that e+1 is
// decided after t, if at all. Any command acknowledged before t was therefore committed in an epoch up to e,
// and is in the log of every synced member of the chain of e. So a linearizable read needs no entry in the log.
package view

// Package view agrees on the membership of a replicated chain: which members vote on the next view, which of
// them form the chain of this one, and from whose log that chain starts.
//
// The package is a pure core: it opens no socket or file, reads no clock and starts no goroutine. The caller
// carries the messages, and writes an Acceptor's state durably before it sends the answer that depends on it;
// coord/replica does both.
//
// # Concepts
//
//   - A Member is one incarnation of a machine's disk. A machine whose disk was lost comes back as another
//     Member.
//   - A View is one configuration of the system, numbered by its epoch: voters, chain, and the source whose
//     log the chain's other members copy first. Views are immutable, and each epoch has at most one.
//   - An Acceptor is a voter's part of the agreement, a Proposal one attempt of a proposer. Planner makes the
//     value that is proposed; ChooseSource restricts it to what is safe.
//   - A member is wedged once it has answered a prepare or an accept in its epoch. Until it learns of a
//     decision it takes no further part in that epoch: it neither accepts, forwards nor acknowledges
//     commands, and copies no prefix, so that its log doesn't change.
//   - A member is synced in an epoch if its log is a complete prefix: it holds every command that was
//     committed in the epochs before. LogState.Synced is the highest epoch in which it was.
//
// # Agreement
//
// The sequence of views is a compare-and-set register: the view of epoch e+1 replaces that of epoch e and no
// other. Each step is one instance of single-decree Paxos (Lamport, "The Part-Time Parliament", 1998, and
// "Paxos Made Simple", 2001) in which the voters of e are the acceptors. That the membership decides on its
// own successor is from Lamport, Malkhi and Zhou, "Reconfiguring a State Machine" (2010), and the separation
// of a majority that agrees on configurations from a configuration that replicates with a write-all quorum
// from their "Vertical Paxos and Primary-Backup Replication" (2009). CASPaxos (Rystsov, "CASPaxos: Replicated
// State Machines without logs", 2018) keeps such a register in one instance for ever; here each epoch has an
// instance of its own, so that its set of acceptors never changes while it runs.
//
// The view of GenesisEpoch needs no agreement: every process derives the same one from the same seeds.
//
// A lost disk can't break a promise: its machine has another incarnation, so it is another member, and no
// voter. Hence any two majorities of the voters of e share a member that remembers its promise and its vote.
//
// # What the next chain starts from
//
// A command of epoch e is committed when every member of the chain of e has it on its disk (van Renesse and
// Schneider, "Chain Replication for Supporting High Throughput and Availability", 2004), and none commits
// before all of them are synced in e. A member that is not the source becomes synced by the copy of the
// source's prefix; the source is synced as soon as it adopts its view. Everything rests on this invariant:
//
//	(I) The log of a member with Synced = x holds every command committed in epochs below x, and
//	    those that were or will be committed in x.
//
// A proposer needs prepare responses from a majority of the voters of e. It goes through the epochs that may
// have committed the last command, the newest first: e, then the Terms of the view of e. For such an epoch x
// there are two cases.
//
// A. A responder in the chain of x has Synced < x. It wasn't synced in x and can't become so any more,
// because it is wedged in x or has left it. So nothing was or will be committed in x, and the next older term
// counts.
//
// B. No responder in the chain of x shows this. Those with Synced >= x hold, by (I) and because they are
// wedged in x or have left it, everything committed in epochs up to x; the epochs above x were shown to have
// committed nothing. The most up-to-date log of them becomes the source, with SourceEpoch = x. However many
// views follow each other before one is synced, the logs that were synced in SourceEpoch remain good enough.
// If no responder has Synced >= x, the responses prove nothing, and the proposer waits for more of them.
//
// If all of the chain of x have responded with Synced >= x, there are more of them than disks may be lost,
// and no later proposer can find case A for x: it is the only term of the next view. Otherwise the older ones
// stay in Terms. Perhaps only the source of x was ever synced in it; if its disk is lost, another member of
// the chain of x gives case A, and the logs that were synced in the term below count again. The oldest term
// counts in any case. This covers a source that fails before the others have its prefix, and members that
// learn of a decision late.
//
// The source has answered a prepare of epoch e, so its log doesn't change until it adopts e+1: it is then the
// log that the proposer judged, also if another proposer completes the decision. A member that copies the
// prefix replaces its own log in one durable step, so that it never holds a part of each.
//
// # The next loss
//
// Planner makes the voters and the chain of the next view. It keeps two rules, without which one loss could
// leave a majority that can never form a view again. A chain has more members than disks may be lost, also
// while some of them are about to leave: one remains to tell what the chain committed. And a voter that is
// merely unreachable keeps its vote until enough of the next voters hold everything without it.
//
// The system bears the loss of any Tolerance disks, also together with a loss of power of all machines, from
// the moment at which a view is decided, none of its voters is wedged in it, it has 2 x Tolerance + 1 voters,
// all with the disk that they vote with, and Tolerance + 1 members of its chain are synced in it. The
// remaining machines then form a view that serves and holds every acknowledged command. The model checker of
// the membership in this package's tests plays these losses in every state that it reaches.
//
// # Reads
//
// A decision on e+1 needs prepare responses from a majority of the voters of e. A process that asks all of
// them after a moment t, and hears from a majority that they are not wedged in e, knows that e+1 is decided
// after t, if at all. Any command acknowledged before t was therefore committed in an epoch up to e, and is
// in the log of every synced member of the chain of e: a linearizable read needs no entry in the log.
package view

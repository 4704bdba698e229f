// Package view holds the agreed membership view that reconfigures a chain: who votes on the next
// view, who forms the chain of this one, and whose copy it starts from.
//
// It is a pure state machine: no sockets, disks or clocks. A caller writes an Acceptor's state
// durably before it sends the answer.
//
// # Agreement
//
// The view of epoch e+1 is decided by one instance of single-decree Paxos among the voters of the
// view of epoch e. The genesis view is derived alike by everybody from the same seeds. A promise,
// and likewise a vote, wedges its sender in epoch e: it neither accepts, forwards nor acknowledges
// orders of that epoch, and it takes in no copy of a prefix, so its log stands still until it
// learns of a decision.
//
// A machine that lost its disk has another incarnation, so it is another member and no voter. Two
// majorities of the voters of e share a member that hasn't forgotten its promise.
//
// # What the next chain starts from
//
// An order of epoch e is committed when every member of the chain of e has it on its disk, after
// all of them have become whole in e: each has the prefix of the view's source. Every member keeps
// Synced, the highest epoch in which its log was whole; the source of a decided view counts as
// whole in it at once. The claim that all rests on:
//
//	(I) The log of a member with Synced = x holds every order committed in epochs below x, and
//	    those that were or will be committed in x.
//
// A proposer needs promises of a majority of the voters of e. It goes through the epochs that may have
// committed the last order, e first, and then the Terms of the view of e.
//
// A. A promiser of the chain of an epoch x has Synced < x: it wasn't whole in x, and can't become so any
// more, as it is wedged in x or has left it. So nothing was or will be committed in x. The next lower
// term counts.
//
// B. No promiser of the chain of x shows this. Those with Synced >= x hold, by (I) and because they are
// wedged in x or have left it, everything committed in epochs up to x, and the epochs above were shown to
// have none. The one with the highest Synced, and then the longest log, becomes the source, with
// SourceEpoch = x: however many views follow each other before one is whole, the logs that were whole in
// SourceEpoch remain good enough. Should there be none, the promises prove nothing, and the proposer
// waits for more.
//
// Where all of the chain of x have promised whole logs, there are more of them than disks may be lost,
// and nobody can disprove x any more: it is the only term of the next view. Otherwise the lower ones stay
// in Terms. Perhaps only the source of x was ever whole in it; when its disk is lost, another member of
// the chain of x disproves x, and the logs that were whole in the term below count again. The last term
// counts in any case. This is the case of a source that died before the others had its prefix, and of
// members that learnt of the decision late.
//
// A source promised in epoch e and so stands still there until it adopts e+1: its log is then the
// one that the proposer judged, also when another proposer repairs the value. A member that copies
// the prefix replaces its own log in one durable step, so it is never half of each.
//
// # The next loss
//
// Planner makes the voters and the chain of the next view. It keeps to two rules, without which a single
// loss may leave a majority that can never go on. A chain has more members than disks may be lost, also
// where some of them are about to leave: one of them is left to tell what it committed. And a voter that
// is only absent keeps its vote until so many of the next voters hold everything without it.
//
// From the moment at which a view is decided and none of its voters has promised another, it has
// 2 x Tolerance + 1 voters, all with the disk that they vote with, and Tolerance + 1 members of its chain
// are whole in it, the loss of any Tolerance disks is borne, with a loss of power of all: the others form
// a view that serves and has every acknowledged order. The tests' model of the membership plays these
// losses in every state that it reaches.
//
// # Reads
//
// A decision on e+1 needs promises of a majority of the voters of e. Who asks all of them after a
// moment t, and hears from a majority that they stand unwedged in e, knows that e+1 was decided
// after t: any order acknowledged before t was committed in an epoch up to e, and is in the log of
// every member of the chain of e that is whole.
package view

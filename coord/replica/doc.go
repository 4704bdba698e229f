// Package replica keeps control state by chain replication over a few machines with a disk, and
// carries it to any number of nodes without one.
//
// # Use
//
// A Machine is the state: a deterministic type that applies orders, and that can be copied and
// restored whole. Start gives a Node on each machine. Node.Propose has an order applied, from any
// node; Node.Read waits until the local machine holds all that was acknowledged before; Node.Fresh
// tells how old the local knowledge is at most, without asking anybody. Node.Lead says whether this
// node is the chain's head and until when no other node may act as one: singleton roles hang on it
// (see coord/leader). Node.HandOver leaves the chain as planned, before a process ends.
//
// # Guarantees
//
// An acknowledged order (Propose returned nil) is on the synced disks of the whole chain, which has
// at least Tolerance+1 members. It survives the loss of Tolerance disks together with a loss of power
// of all others. An order is applied once for each id, also when it is sent again through another
// node over a change of the view; the outcomes of the last 4,096 orders are remembered for that. Beyond
// them no message brings an order in again, however late it comes: only a caller can, that proposes the
// same id itself again so late. Reads are linearizable. ErrUnavailable means that the order never
// left this node; ErrUncertain means that it may be applied at any time.
//
// A chain of fewer than Tolerance+1 members takes no orders, and a minority of the voters does
// nothing at all.
//
// # How it works
//
// The head orders writes. Each member writes what waits with one sync, and hands it on; what the tail
// has synced is on all disks. Acknowledgements travel back, so that every member knows how far it may
// apply. Nodes outside of the chain poll one member for committed orders, and it pushes new ones to
// them; each node learns the outcome of its callers' orders from its own copy of the machine.
//
// coord/view decides who forms the chain, one view after the other; its package comment holds the
// safety argument. A promise wedges a member in its epoch. After a decision each member of the new
// chain copies the prefix of the view's source in one durable step, incrementally where the logs have
// a common part, and nothing commits before the whole chain has it: an Append of an epoch is sent
// only by a member whose own copy, and whose predecessors' copies, are whole.
//
// Core machines exchange heartbeats every 200 ms, with the list of those that the sender is in touch
// with. A member that is silent for 700 ms is left out by the next view, which its neighbours propose
// first; a member that returns is let in once all of the chain hears it. Links that are cut one way,
// or between two members only, don't matter where the chain doesn't use them: orders go around them,
// by a member in touch with both ends. A process that finds a gap of more than 400 ms between its ticks
// stood still itself: it forgets all silence, drops the orders that waited for it, and listens.
//
// Each heartbeat echoes the last one heard from its addressee. So a member learns, without a message
// of its own, up to when a majority of voters stood unwedged in its epoch: everything acknowledged
// before that moment is in its log. This is what Fresh and Lead rest on. A Read asks with an urgent
// round of heartbeats. All times are of the steady clock; the time of day plays no part.
//
// A machine whose disk is empty draws an incarnation and is another member than before: it has no
// vote, asks to join, and takes the place of its earlier life, or of a voter that is long absent, or
// of one that is missing to 2 x Tolerance + 1. Only founders, at the very first start, have the
// incarnation "genesis". A machine without a disk only observes. A disk that refuses a write takes
// its member out until it takes bytes again; one that has lost what it acknowledged is emptied.
//
// # Structure
//
// The protocol is a pure state machine (core): messages and time go in; records and messages come
// out. Its carrier makes the records durable first, then sends the messages. Node carries it with
// sockets (coord/transport), a disk (coord/slots) and the steady clock, on one goroutine. The tests
// carry it through worlds in virtual time, with the real store on simulated disks. hazards_test.go lists
// the troubles, from killed, wiped, frozen, cut-off, leaving and replaced machines to copies that are
// interrupted and members that miss hundreds of orders; the next one may come as soon as the chain is
// whole. checks_test.go holds what must be true at each step, plants_test.go the bugs that the worlds
// must find. SEEDS=N plays N worlds, FIRST=S begins at seed S, and TRACE=1 prints a failing world whole.
package replica

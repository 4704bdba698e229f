// Package chain holds the data of chain replication (van Renesse and Schneider, 2004): the replicated log,
// and the deterministic state machine that its commands drive.
//
// An Entry is a command at an index of the Log. It carries the epoch of the view in which it was appended.
// One head appends in an epoch, and never uses an index twice, so that two logs with the same epoch at an
// index agree on that entry and on all before it (the log matching property of Raft). Log.EpochRuns describes
// a log by its epochs, and Log.LastCommonIndex finds with it how far two logs agree, so that only what
// follows has to be transferred.
//
// A State is a StateMachine with the outcomes of its latest commands, by command ID. They make a command that
// is proposed twice, over a change of the view for instance, take effect once; they are part of the
// replicated state. A Snapshot is a copy of a State, which replaces all entries up to its index.
//
// Nothing here is safe for concurrent use, or uses sockets, disks or clocks: coord/replica does.
package chain

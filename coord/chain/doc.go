// Package chain implements the data structures of chain replication (van Renesse and Schneider, 2004): the
// replicated log, and the state to which its commands are applied by a deterministic state machine.
//
// An Entry is a command at an index of the Log. It contains the epoch of the view in which it was appended.
// Only one head appends in an epoch, and it never uses an index twice, so that two logs with the same epoch at
// an index agree on that entry and on all entries before it (the log matching property of Raft). Log.EpochRuns
// describes a log by its epochs, and Log.LastCommonIndex uses that description to find how far two logs agree,
// so that only the entries that follow have to be transferred.
//
// A State is a StateMachine with the outcomes of its latest commands, by command ID. Because of the outcomes, a
// command that is proposed twice, for instance across a view change, takes effect once; they are part of the
// replicated state. A Snapshot is a copy of a State, which replaces all entries up to its index.
//
// The types of this package aren't safe for concurrent use. The package uses no sockets, disks or clocks;
// coord/replica does.
package chain

// Package store is an embedded, log-structured key-value store for small values. A gateway keeps the data in it
// that has to survive a restart (package balances).
//
// # Model
//
// The design is that of Bitcask (Sheehy and Smith, 2010): records are appended to a log of segment files, and an index
// in memory maps each key to the location of its newest record. It departs from Bitcask in four points. Records of
// several keys form atomic batches. A manifest names the files that make up the store, and is replaced atomically, as
// in LevelDB and Pebble. Checkpoints of the index take the place of hint files. And every record carries the sequence
// number that was durable when it was written, which distinguishes a torn write from lost data (see Recovery).
//
// # Durability
//
// Store.Write returns once the batch is as durable as the caller asked: in memory (Buffered), after an fsync that it
// shares with concurrent writers (GroupCommit), or after an fsync that it starts itself (Immediate). Batches reach
// the disk in the order of their sequence numbers, so the batches that survive a crash are always a prefix of all
// batches, and include all that were acknowledged as durable. After the first failed write or fsync the store
// accepts no more writes: the kernel may have dropped the dirty pages, and a later fsync that succeeds would prove
// nothing (Rebello et al., "Can Applications Recover from fsync Failures?", 2020).
//
// # Recovery
//
// Open loads the checkpoint, if it is intact, and replays the segments from there on. An unreadable record at the end
// of the active segment is a torn write, and is truncated, unless an intact record behind it states that the unreadable
// one was durable. In that case, and wherever else data is unreadable, acknowledged data is lost: Open returns a
// *CorruptionError and changes nothing. Verify lists all damage of a store; Repair salvages the readable records.
//
// # Invariants
//
//   - A store never returns a value that was not written, and never opens when an acknowledged record is missing.
//   - Files that the manifest names are synced, and so is the directory, before the manifest that names them is renamed
//     into place.
//   - Sequence numbers rise by one from record to record; compaction keeps the number of a record that it copies.
//   - A tombstone is kept as long as an older segment may hold a value of its key.
//
// The file format is described in format.go. All access to the disk goes through the interface FS, so that tests can
// inject faults (package faultfs).
package store

// Package wal implements the write-ahead log of a store: a sequence of records in segment files. Each record
// has a checksum. Records are written in order and synced in groups (group commit). The package doesn't
// interpret records. It is modelled on etcd's wal.
//
// # Use
//
// Open reads a directory's log, replays each record in order, and starts a goroutine that writes and syncs
// the records that Append queues. Append returns a record's sequence number and the Location of its payload at
// once; the record is durable when the DurableFunc that was passed to Open has been called with that number or
// a higher one. Read reads a durable payload, or a part of one, by its Location. RemoveSegment reclaims the
// space of the oldest segment, once the caller needs none of its records any more.
//
// Log is the same log without a goroutine: each call of Step does one operation on the disk. Simulations
// drive it in virtual time; WAL adds the goroutine that drives it in a process.
//
// # Guarantees
//
// After a kill or a loss of power, a restart replays every record that was reported as durable, followed by a
// prefix of the other records. Records are replayed in order, without a gap, and each as it was appended,
// unless the disk has corrupted it since (see below).
//
// # Invariants
//
//   - A segment is created only once all records of the segment before it are synced. So only the last segment
//     that has records can have lost some of them.
//   - A segment of an earlier incarnation is never appended to. Each start creates a new segment.
//   - A group is written only once the group before it is synced. So everything before a valid group-commit
//     marker (see record.go) was durable, and is corrupt if it can't be read.
//   - Records that a start replays are synced before OpenLog returns and before the next segment is created: a
//     process that was killed between write and sync leaves records in the page cache that a later loss of
//     power would still destroy.
//   - Segments are removed oldest first, and each only once the removal before it is durable.
//
// # Torn writes and corruption
//
// A loss of power may leave any part of a group that was not synced, even a later record without an earlier
// one. Group-commit markers distinguish such a torn write, which is truncated (Options.OnTruncated), from
// corruption of durable records, which is skipped and left in place (Options.OnSkipped).
package wal

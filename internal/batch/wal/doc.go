// Package wal is the write-ahead log of a store: records in segment files, each with a checksum, that are
// written in order and synced in groups (group commit). It doesn't interpret records. The package is
// modelled on etcd's wal.
//
// # Use
//
// Open reads a directory's log, replays each record in order, and starts a goroutine that writes and syncs
// what Append queues. Append returns a record's sequence number and the Location of its payload at once;
// the record is durable when the DurableFunc that was given to Open has been called with that number or a
// higher one. Read reads a durable payload, or a part of one, by its Location. RemoveSegment reclaims the
// space of the oldest segment, once the caller needs nothing of it any more.
//
// Log is the same log without a goroutine: each call of Step does one operation on the disk. Simulations
// drive it in virtual time; WAL is the carrier around it.
//
// # Guarantees
//
// After a kill or a loss of power, a restart replays every record that was reported as durable and, of the
// others, a prefix: in order, without a gap, and each as it was appended, unless the disk has corrupted it
// since (see below).
//
// # Invariants
//
//   - A segment is created only once all records of the one before it are synced. So only the last segment
//     that has records can have lost some of them.
//   - A segment of an earlier incarnation is never appended to. Each start creates a new one.
//   - A group is written only once the group before it is synced. So everything before a valid group-commit
//     marker (see record.go) was durable, and is corrupt if it can't be read.
//   - What a start replays is synced before OpenLog returns and before the next segment is created: a
//     process that was killed between write and sync leaves records in the page cache that a later loss of
//     power would still take away.
//   - Segments are removed oldest first, and the next only once the removal before it is durable.
//
// # Torn writes and corruption
//
// A loss of power leaves any part of a group that was not synced, also a later record without an earlier
// one. Group-commit markers tell such a torn write, which is truncated (Options.OnTruncated), from
// corruption of what was durable, which is skipped and left in place (Options.OnSkipped).
package wal

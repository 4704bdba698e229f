// Package slots is the stable storage of a small replicated state machine: a snapshot with a short
// write-ahead log.
//
// It is meant for states of up to some megabytes that are written often, such as the accepted proposals and the
// snapshot of a member of a chain. The whole state is read at Open; afterwards, only Verify reads. etcd keeps
// the same two parts in its wal and snap folders. Here the snapshots alternate between two files (A/B slots), as
// bbolt alternates between its two meta pages, so that the newest complete snapshot is never the one being
// overwritten, and no file is ever created or renamed after the first Open.
//
// # Use
//
// The caller's state is the last snapshot plus the records appended since. [Store.Append] makes records
// durable with one write and one fdatasync. [Store.Compact] replaces snapshot and log by a snapshot of the
// whole state; call it when [Store.LogBytes] has grown to a few times the size of a snapshot. The snapshot
// must equal the state that results from the previous snapshot and all records since. After a restart [Open]
// returns the snapshot and the records from which to recover the state:
//
//	store, recovered, err := slots.Open(slots.Directory(path), slots.Options{})
//	// err: errors.Is(err, slots.ErrCorrupt) means that acknowledged state is missing
//	// state: recovered.Snapshot, then recovered.Records in order
//
// # Guarantees
//
// After any crash Open returns the acknowledged state, with or without the one Append that was in flight. A
// Compact in flight doesn't change the recovered state, since the state before and after it is the same.
//
// An Append is atomic: all of its records are stored or none. An error other than [ErrUncertain] means that
// none is stored.
//
// # Recovery after a crash
//
//	crash during                        contents of the disk                    Open
//	the first Open, before its last     no valid slot, no records               creates an empty store
//	sync
//	Append                              a torn batch at the end of the log,     truncates the log after the last
//	                                    or a complete one                       valid batch, or keeps the batch
//	Compact, while the other log is     the active slot and log untouched       ignores the other log: its sequence
//	prepared                                                                    is above the active slot's, and it
//	                                                                            has no batches
//	Compact, while the other slot is    the active slot and log untouched,      truncates the torn slot
//	written                             a torn slot
//	Compact, after the slot's sync      the new slot valid, its log empty       starts from the new slot
//	Wipe                                the older slot emptied first, the       finds no store, the same state, or
//	                                    logs last                               records without their snapshot
//
// Open also syncs the files that it found. A killed process, unlike a machine that lost power, leaves unsynced
// writes in the page cache, which a later loss of power would still discard. The state that Open has returned
// must not change at the next Open.
//
// File names are made durable by a sync of the folder ([FS.SyncDir]) before the first valid slot is written, so
// that a folder holds either no store or all four files of one.
//
// # Corruption
//
// A batch is written only after all earlier batches were synced. An invalid batch that no valid batch follows is
// therefore treated as a torn write of the Append in flight, and truncated. An invalid batch that a valid batch
// follows had been acknowledged: Open returns [ErrCorrupt], with [Finding]s that name file and offset, and the
// readable part of the state. It does the same for a log with an invalid header, and for records that follow an
// invalid slot. The caller then calls [Wipe] and takes its state from another replica.
//
// Two kinds of corruption are indistinguishable from a crash, and are treated as one. A corrupt newest snapshot
// without records after it loses nothing, because the older slot and its log yield the same state, and only the
// next Compact overwrites them. A corrupt last batch is the only loss of acknowledged state that Open can't
// detect; [Store.Verify] detects it, because it knows how much was acknowledged.
//
// The layout of the files is described in format.go.
package slots

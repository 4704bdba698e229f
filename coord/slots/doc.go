// Package slots is the stable storage of a small replicated state machine: a snapshot with a short
// write-ahead log.
//
// It serves states of up to some megabytes that are written often, such as the accepted proposals and the
// snapshot of a member of a chain. The whole state is read at Open; nothing is read afterwards except by
// Verify. etcd keeps the same two parts as its wal and snap folders. Here the snapshots alternate between two
// files (A/B slots), as bbolt alternates between its two meta pages, so that the newest complete snapshot is
// never the one being overwritten, and no file is ever created or renamed after the first Open.
//
// # Use
//
// The caller's state is the last snapshot plus the records appended since. [Store.Append] makes records
// durable with one write and one fdatasync. [Store.Compact] replaces snapshot and log by a snapshot of the
// whole state; call it when [Store.LogBytes] has grown to a few times the size of a snapshot. The snapshot
// must equal the state that the previous snapshot and all records since lead to. After a restart [Open]
// returns what to start from:
//
//	store, recovered, err := slots.Open(slots.Directory(path), slots.Options{})
//	// err: errors.Is(err, slots.ErrCorrupt) means that acknowledged state is gone
//	// state: recovered.Snapshot, then recovered.Records in order
//
// # Guarantees
//
// After any crash Open returns the acknowledged state, or that state with the one Append that was in flight.
// A Compact in flight changes nothing, since the state before and after it is the same.
//
// An Append is atomic: all of its records are stored or none. An error other than [ErrUncertain] means that
// none is.
//
// # What a crash leaves, and what Open does with it
//
//	crash during                        left on the disk                        Open
//	the first Open, before its last     no valid slot, no records               creates an empty store
//	sync
//	Append                              a torn batch at the end of the log,     truncates the log behind the last
//	                                    or a complete one                       valid batch, or keeps the batch
//	Compact, while the other log is     the active slot and log untouched       ignores the other log: its sequence
//	prepared                                                                    is above the active slot's, and it
//	                                                                            has no batches
//	Compact, while the other slot is    the active slot and log untouched,      truncates the torn slot
//	written                             a torn slot
//	Compact, after the slot's sync      the new slot valid, its log empty       starts from the new slot
//	Wipe                                the older slot gone first, the logs     finds no store, the same state, or
//	                                    last                                    records without their snapshot
//
// Open also syncs what it found. A process that was killed, unlike a machine that lost power, leaves writes
// in the page cache which a later loss of power would still take away: what Open has returned must not change
// at the next Open.
//
// Names are made durable by a sync of the folder ([FS.SyncDir]) before the first valid slot is written, so
// that a folder either holds no store or all four files of one.
//
// # Corruption
//
// A batch is written only after all batches before it were synced. An invalid batch with no valid one after
// it is therefore taken for a torn write of the Append in flight, and truncated. An invalid batch with a
// valid one after it had been acknowledged: Open reports [ErrCorrupt], with [Finding]s that name file and
// offset, and returns what is readable. It does the same for a log without its header, and for records that
// follow an invalid slot. The caller then takes its state from another replica, after [Wipe].
//
// Two kinds of corruption can't be told from a crash, and are treated as one. A corrupt newest snapshot
// without records after it costs nothing: the older slot and its log, which the next Compact overwrites at
// the earliest, lead to the same state. A corrupt last batch is the one acknowledged loss that Open can't
// detect; [Store.Verify], which knows what was acknowledged, does.
//
// The layout of the files is described in format.go.
package slots

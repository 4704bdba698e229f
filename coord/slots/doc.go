// Package slots keeps a small state on a disk: two slots that are written in turn, with a short log between.
//
// The caller's state is a snapshot and the records appended since. Append makes records durable with one write and
// one fdatasync. Compact writes a snapshot of the whole state into the slot that is not in use and starts its log.
// The snapshot must equal the state that the last snapshot and all records since lead to. After any crash Open
// returns the acknowledged state, or that state with the one Append that was in flight, or the state of a Compact
// in flight, which by the rule above is the same.
//
// # Files
//
// Four files exist from the first Open on, and their names never change: slot-0, slot-1, log-0 and log-1. Slot and
// log of one number belong together. Integers are big endian, checksums are CRC-32C.
//
//	slot:  magic "SPLSLOT" (7 bytes), version (1), sequence (8), snapshot length (8), checksum (4), snapshot
//	log:   magic "SPLSLOG" (7 bytes), version (1), sequence (8), checksum (4), batches
//	batch: payload length (4), number (4), checksum (4), payload: for each record its length (uvarint) and bytes
//
// The checksum of a slot covers sequence, length and snapshot. That of a log's header covers the sequence. That of a
// batch covers the sequence of its log, its length and number, and the payload, so that what an earlier life of the
// same file left behind it never passes for a batch. Batches of one log are numbered from 0. One Append is one batch.
//
// # Order of writes
//
// The state is the valid slot with the highest sequence n and the batches of its log. Compact empties the other log
// and gives it the sequence n+1, syncs it, writes the other slot with n+1 and syncs that: this sync is the moment of
// change. Until then the old slot and log are untouched. If a step fails, the new slot is emptied again and the old
// state goes on; where even that fails, the store refuses Append until a Compact has succeeded.
//
// An Append that fails, on a full disk for instance, is cut off the log again before it returns, so that its records
// are surely not stored. Where they may be, the error is ErrBroken.
//
// Open also syncs what it found, because a process that was killed may have left writes that a loss of power would
// still take away, and empties a slot that a Compact left torn.
//
// # Damage
//
// A batch is written only after the batches before it were synced. So a bad batch with no good one after it is the
// Append that was in flight, and is cut off. A bad batch with a good one after it was acknowledged: Open reports
// ErrDamaged, with findings that name file and offset, and returns what is readable. So it does for a log without
// its header, and for batches that follow a bad slot. The caller then takes its state from another replica, after
// Wipe. A bad last batch can't be told from one that was in flight, nor a bad newest slot without batches from a
// Compact in flight.
package slots

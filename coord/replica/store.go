package replica

import (
	"errors"
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
)

// durableStore is the part of slots.Store that a node uses.
type durableStore interface {
	// Append makes records durable.
	Append(records ...[]byte) error
	// Compact makes a new snapshot durable, which replaces the previous snapshot and all records.
	Compact(snapshot []byte) error
	// LogBytes returns the size of the records since the last Compact.
	LogBytes() int64
	Close() error
}

// diskProbeInterval is the time between two attempts to reopen a disk that has refused a write.
const diskProbeInterval = 500 * time.Millisecond

// openStore opens the disk and decodes its contents. recovered is nil if the disk is empty.
func openStore(fs slots.FS) (store durableStore, recovered *recoveredState, err error) {
	opened, contents, err := slots.Open(fs, slots.Options{})
	if err != nil {
		return nil, nil, err
	}
	if !contents.Found || len(contents.Snapshot) == 0 {
		return opened, nil, nil
	}
	recovered, err = recoverState(contents.Snapshot, contents.Records)
	if err != nil {
		return nil, nil, errors.Join(err, opened.Close())
	}
	recovered.repairs = contents.Findings
	return opened, recovered, nil
}

// CorruptPrefix is the prefix of the names of the files that are kept, in the same directory, as copies of a corrupt
// disk when it is emptied. They are kept until a disk is found corrupt again.
const CorruptPrefix = "corrupt-"

// maxCorruptCopyBytes bounds the size of the copies of a corrupt disk, because the disk may be small and its space is
// needed for new data.
const maxCorruptCopyBytes = 8 << 20

// openDisk opens the disk of a starting node. A disk that has lost data that it had acknowledged is emptied: its
// member is lost, together with its vote, and a new member joins in its place. Continuing with the remaining data
// could break promises that this member has made as an acceptor.
func (n *Node) openDisk() (*recoveredState, error) {
	fs := n.options.filesystem()
	if fs == nil {
		return nil, nil
	}
	store, recovered, err := openStore(fs)
	if errors.Is(err, slots.ErrCorrupt) || errors.Is(err, errCorruptRecord) {
		n.options.Log("disk_corrupt", "error", err.Error())
		n.options.Bootstrap = false
		if err := slots.Copy(fs, slots.Options{}, CorruptPrefix, maxCorruptCopyBytes); err != nil {
			n.options.Log("disk_copy_failed", "error", err.Error())
		}
		if err := slots.Wipe(fs, slots.Options{}); err != nil {
			return nil, fmt.Errorf("replica: wipe the corrupt disk: %w", err)
		}
		store, recovered, err = openStore(fs)
	}
	if err != nil {
		return nil, fmt.Errorf("replica: open the disk: %w", err)
	}
	n.store = store
	n.logRepairs(recovered)
	return recovered, nil
}

// logRepairs logs the torn tails that were truncated from the disk's files at this start.
func (n *Node) logRepairs(recovered *recoveredState) {
	if recovered == nil {
		return
	}
	for _, finding := range recovered.repairs {
		n.options.Log("disk_repaired", "file", finding.File, "offset", finding.Offset, "problem", finding.Problem)
	}
}

// diskFailed takes the member out of service until its disk accepts writes again. Until then the member sends no
// messages, because they may refer to state that isn't durable.
func (n *Node) diskFailed(err error) {
	n.options.Log("disk_write_failed", "error", err.Error())
	n.diskUnhealthy = true
	n.nextDiskProbe = time.Now().Add(diskProbeInterval)
	n.core.takeMessages()
	_ = n.store.Close()
}

// probeDisk tries to reopen the disk, at most once in diskProbeInterval, and reports whether the disk accepts writes
// again. If so, the core continues from the contents of the disk.
func (n *Node) probeDisk() bool {
	if time.Now().Before(n.nextDiskProbe) {
		return false
	}
	n.nextDiskProbe = time.Now().Add(diskProbeInterval)
	store, recovered, err := openStore(n.options.filesystem())
	if err != nil || recovered == nil {
		return false
	}
	if err := store.Append([]byte{recordProbe}); err != nil {
		_ = store.Close()
		return false
	}
	n.store = store
	n.diskUnhealthy = false
	n.core.reopened(n.now(), recovered)
	n.options.Log("disk_recovered")
	return true
}

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
	// Compact replaces the snapshot and all records.
	Compact(snapshot []byte) error
	// LogBytes returns the size of the records since the last Compact.
	LogBytes() int64
	Close() error
}

// diskProbeInterval is the time between two attempts to use a disk that refused a write.
const diskProbeInterval = 500 * time.Millisecond

// openStore opens the disk and decodes what it holds; found is nil for an empty one.
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

// CorruptPrefix starts the names of the files that are kept of a corrupt disk when it is emptied, in its folder. They
// stay until the next time.
const CorruptPrefix = "corrupt-"

// maxCorruptCopyBytes bounds what is kept of a corrupt disk, which may be small and is needed for what comes.
const maxCorruptCopyBytes = 8 << 20

// openDisk opens the disk of a starting node. A disk that lost data that it had acknowledged is emptied: its
// member is lost, votes included, and a new one joins in its place. Continuing with what is left could break
// promises that this member has made as an acceptor.
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
			return nil, fmt.Errorf("replica: empty the damaged disk: %w", err)
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

// logRepairs logs the torn tails that were truncated in the disk's files at this start.
func (n *Node) logRepairs(recovered *recoveredState) {
	if recovered == nil {
		return
	}
	for _, finding := range recovered.repairs {
		n.options.Log("disk_repaired", "file", finding.File, "offset", finding.Offset, "problem", finding.Problem)
	}
}

// diskFailed takes the member out of service until its disk takes bytes again. Nothing leaves it meanwhile:
// what it decided last isn't durable, and its messages may speak of it.
func (n *Node) diskFailed(err error) {
	n.options.Log("disk_write_failed", "error", err.Error())
	n.diskUnhealthy = true
	n.nextDiskProbe = time.Now().Add(diskProbeInterval)
	n.core.takeMessages()
	_ = n.store.Close()
}

// probeDisk reopens the disk once it takes bytes again, and continues from what it holds.
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

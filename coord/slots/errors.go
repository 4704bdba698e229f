package slots

import (
	"errors"
	"fmt"
	"io/fs"

	"golang.org/x/sys/unix"
)

var (
	// ErrCorrupt reports that acknowledged state is missing from the disk.
	ErrCorrupt = errors.New("slots: acknowledged state is damaged")
	// ErrDiskFull reports a disk or a quota without space (ENOSPC, EDQUOT). Nothing was stored, and the store
	// remains usable.
	ErrDiskFull = errors.New("slots: disk is full")
	// ErrUncertain reports that a write failed and that undoing it failed as well, so that it is unknown
	// whether the data is stored. Append returns it until a Compact has succeeded.
	ErrUncertain = errors.New("slots: state of the disk is unknown")
	// ErrClosed reports a call of a closed store.
	ErrClosed = errors.New("slots: closed")
)

// errBatchTooLarge reports records that don't fit into one batch.
var errBatchTooLarge = errors.New("slots: records too large for one append")

// markDiskFull wraps an error of a disk without space in ErrDiskFull, and returns other errors unchanged.
func markDiskFull(err error) error {
	if isDiskFull(err) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}

// isDiskFull reports whether an error is due to a disk or a quota without space.
func isDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// isNotExist reports whether an error is due to a file that doesn't exist.
func isNotExist(err error) bool {
	return errors.Is(err, fs.ErrNotExist)
}

package replica

import (
	"errors"
)

// Errors of a Node.
var (
	// ErrUnavailable says that the command wasn't taken and never will be, or that a read can't be answered
	// now. It is safe to propose the command again.
	ErrUnavailable = errors.New("replica: unavailable")
	// ErrUncertain says that the command may have been applied, may be applied later, or not at all. It is
	// safe to propose it again with the same ID.
	ErrUncertain = errors.New("replica: outcome unknown")
	// ErrClosed says that the node was closed.
	ErrClosed = errors.New("replica: closed")
	// ErrNoSeeds says that Options.Bootstrap is set without any seed.
	ErrNoSeeds = errors.New("replica: no seeds")
)

// errDiskUnhealthy is the cause that errors wrap beside ErrUnavailable while the disk refuses writes.
var errDiskUnhealthy = errors.New("the disk refuses writes")

// errCorruptRecord says that the disk holds a record that can't be decoded.
var errCorruptRecord = errors.New("replica: a record of the disk can't be read")

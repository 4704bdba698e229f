package replica

import (
	"errors"
)

// Errors returned by Start and by the methods of a Node.
var (
	// ErrUnavailable means that the command wasn't accepted and never will be, or that a read can't be answered
	// now. It is safe to propose the command again.
	ErrUnavailable = errors.New("replica: unavailable")
	// ErrUncertain means that the command may have been applied, may be applied later, or may never be applied.
	// It is safe to propose it again with the same ID.
	ErrUncertain = errors.New("replica: outcome unknown")
	// ErrClosed means that the node was closed.
	ErrClosed = errors.New("replica: closed")
	// ErrNoSeeds means that Options.Bootstrap is set but Options.Seeds is empty.
	ErrNoSeeds = errors.New("replica: no seeds")
)

// errDiskUnhealthy is the cause that is wrapped together with ErrUnavailable while the disk refuses writes.
var errDiskUnhealthy = errors.New("the disk refuses writes")

// errCorruptRecord means that the disk holds a record that can't be decoded.
var errCorruptRecord = errors.New("replica: a record on the disk can't be decoded")

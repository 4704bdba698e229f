package replica

import (
	"sprucelane.example/sprucelane/coord/chain"
)

// Default limits of a core: see limits.
const (
	defaultBatchBytes       = 256 << 10 // bytes
	defaultRetainedLogBytes = 256 << 10 // bytes
	defaultMaxUncommitted   = 8192      // commands
)

// checkpointLogBytes is the size of the log on disk, in bytes, above which a driver requests a checkpoint. A
// larger value causes fewer checkpoints, and longer replays at a start.
const checkpointLogBytes = 1 << 20

// limits bound the state that a core retains and the size of its messages. All members of a system use the same
// limits, because the set of commands recognized as duplicates is part of the replicated state.
type limits struct {
	// batchBytes is the approximate maximum number of bytes of commands in one message. A batch contains at least
	// one command.
	batchBytes int
	// retainedLogBytes is the number of bytes of applied commands that the log retains at a checkpoint. A
	// returning member that lacks only retained commands is sent these commands; a member that lacks more is
	// sent a snapshot.
	retainedLogBytes int
	// maxUncommitted is the number of unapplied commands in the log at which the head admits no more.
	maxUncommitted int
	// deduplicationWindow is the number of latest command IDs whose outcomes are kept.
	deduplicationWindow int
}

// defaultLimits are the limits of all nodes that Start returns. Only simulations use other limits.
var defaultLimits = limits{
	batchBytes:          defaultBatchBytes,
	retainedLogBytes:    defaultRetainedLogBytes,
	maxUncommitted:      defaultMaxUncommitted,
	deduplicationWindow: chain.DeduplicationWindow,
}

package replica

import (
	"sprucelane.example/sprucelane/coord/chain"
)

// Default sizes of what a core keeps and sends.
const (
	defaultBatchBytes       = 256 << 10 // bytes
	defaultRetainedLogBytes = 256 << 10 // bytes
	defaultMaxUncommitted   = 8192      // commands
)

// checkpointLogBytes is the size of the log on disk, in bytes, from which on a carrier asks for a checkpoint.
// A larger one writes fewer checkpoints, and replays more at a start.
const checkpointLogBytes = 1 << 20

// limits bound what a core keeps and sends at once. All members of a system have the same: which commands are
// duplicates is part of the replicated state.
type limits struct {
	// batchBytes is about how many bytes of commands one message carries; it carries at least one command.
	batchBytes int
	// retainedLogBytes is how many bytes of applied commands the log retains at a checkpoint. A member that
	// returns and lacks no more than these is sent commands; one that lacks more is sent a snapshot.
	retainedLogBytes int
	// maxUncommitted is the number of commands beyond the applied ones at which the head admits no more.
	maxUncommitted int
	// deduplicationWindow is the number of the latest command IDs whose outcomes are kept.
	deduplicationWindow int
}

// defaultLimits are the limits of all nodes that Start returns; only simulations use others.
var defaultLimits = limits{
	batchBytes:          defaultBatchBytes,
	retainedLogBytes:    defaultRetainedLogBytes,
	maxUncommitted:      defaultMaxUncommitted,
	deduplicationWindow: chain.DeduplicationWindow,
}

package replica

import (
	"math"
)

// checkpoint compacts the log and returns the complete durable state, encoded.
func (c *core) checkpoint() []byte {
	c.compactLog()
	baseIndex, baseEpoch := c.log.Base()
	return encodeGob(checkpoint{
		Self:      c.self,
		Durable:   c.acceptor.DurableState,
		Synced:    c.syncedEpoch,
		BaseIndex: baseIndex,
		BaseEpoch: baseEpoch,
		Image:     c.state.Snapshot(),
		Entries:   c.log.After(baseIndex, math.MaxInt),
	})
}

// compactLog removes applied commands from the log, except the latest ones, of up to retainedLogBytes. It doesn't
// change the log while the state machine is ahead of the log's end: as a learner, a member outside of the chain
// applies commands that its own log lacks.
func (c *core) compactLog() {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	if applied < base || applied > c.log.LastIndex() {
		return
	}
	retained := 0
	index := applied
	for index > base {
		entry := c.log.Entry(index)
		retained += len(entry.Order) + len(entry.ID)
		if retained > c.limits.retainedLogBytes {
			break
		}
		index--
	}
	c.log.Compact(index)
}

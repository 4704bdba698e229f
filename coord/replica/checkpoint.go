package replica

import (
	"math"
)

// checkpoint returns the complete durable state, encoded, after it has compacted the log.
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

// compactLog drops applied commands from the log, down to about retainedLogBytes. It leaves the log alone
// while the state machine is beyond its end: a member outside the chain applies commands as a learner that
// its own log lacks.
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

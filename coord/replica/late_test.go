package replica

import (
	"fmt"
	"testing"
	"time"
)

// busyWorld is three machines whose logs are compacted at once, with some orders acknowledged.
func busyWorld(t *testing.T, seed uint64) *world {
	w := startedWorld(seed, 3, 1)
	w.limits.keptLog = 0
	w.runUntil(2 * time.Second)
	for i := range 12 {
		w.acknowledged(t, w.nodes[0], fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range w.nodes {
		n.handle(func() { n.core.rewrite = true })
	}
	w.runUntil(w.now + 100*time.Millisecond)
	w.acknowledged(t, w.nodes[0], "last", time.Second)
	return w
}

// TestLateFetch asks the source for its prefix once more, long after the asker had it and the log was compacted.
func TestLateFetch(t *testing.T) {
	w := busyWorld(t, 30)
	source, asker := w.nodes[0], w.nodes[1].core.self
	source.handle(func() { source.core.step(w.now, asker, Fetch{Epoch: source.core.epoch()}) })
	w.acknowledged(t, w.nodes[1], "after", time.Second)
}

// TestLateAck brings the head an Ack from long ago, whose sender lacked what the head has compacted since.
func TestLateAck(t *testing.T) {
	w := busyWorld(t, 31)
	head, after := w.nodes[0], w.nodes[1].core.self
	head.handle(func() { head.core.step(w.now, after, Ack{Epoch: head.core.epoch(), End: 1, Whole: true, Gap: true}) })
	w.runUntil(w.now + 100*time.Millisecond)
	w.acknowledged(t, w.nodes[1], "after", time.Second)
}

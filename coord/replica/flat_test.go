package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// holding is what a member holds in memory and on its disk.
type holding struct {
	logBytes  int // of the orders in its log
	outcomes  int // that it remembers
	waiting   int // orders, reads, held orders, readers and peers that it keeps
	diskBytes int64
}

func (h holding) most(other holding) holding {
	return holding{
		logBytes:  max(h.logBytes, other.logBytes),
		outcomes:  max(h.outcomes, other.outcomes),
		waiting:   max(h.waiting, other.waiting),
		diskBytes: max(h.diskBytes, other.diskBytes),
	}
}

func (n *simulatedNode) holding() holding {
	c := n.core
	base, _ := c.log.Base()
	var held holding
	for _, entry := range c.log.After(base, 1<<30) {
		held.logBytes += len(entry.ID) + len(entry.Order)
	}
	held.outcomes = len(c.state.Snapshot().Outcomes)
	held.waiting = len(c.requests.proposals) + len(c.requests.reads) + len(c.requests.deferred) + len(c.learner.learners) + len(c.peers)
	names, _ := n.disk.files.List()
	for _, name := range names {
		size, _ := n.disk.files.Size(name)
		held.diskBytes += size
	}
	return held
}

// order gives count orders of some bytes, eight at a time, and calls sample now and then.
func (w *world) order(t *testing.T, name string, count int, sample func()) {
	t.Helper()
	text := strings.Repeat("x", 100)
	finished, begun := 0, 0
	var next func()
	next = func() {
		if begun == count {
			return
		}
		begun++
		w.nodes[begun%2].propose(fmt.Sprintf("%s-%d-%s", name, begun, text), func(chain.Outcome) {
			finished++
			if finished%100 == 0 {
				sample()
			}
			next()
		})
	}
	for range 8 {
		next()
	}
	if !w.runWhile(5*time.Minute, func() bool { return finished < count }) {
		t.Fatalf("%d of %d orders are acknowledged", finished, count)
	}
}

// TestFlatOverTenThousandOrders gives 10,000 orders: what a member holds doesn't grow over the last half of them, in memory or on disk.
func TestFlatOverTenThousandOrders(t *testing.T) {
	w := startedWorld(80, 3, 1)
	w.keepOrders = 16
	w.compactAt = 64 << 10
	w.limits.retainedLogBytes = 32 << 10
	w.limits.deduplicationWindow = 1024
	w.runUntil(2 * time.Second)
	observer := w.addNode(false)
	observer.start(true)
	w.runUntil(3 * time.Second)
	measure := func(name string, count int) holding {
		var most holding
		w.order(t, name, count, func() {
			for _, n := range w.machines() {
				most = most.most(n.holding())
			}
		})
		return most
	}
	measure("first", 5000)
	early := measure("early", 2500)
	late := measure("late", 2500)
	t.Logf("orders 5,000 to 7,500: %+v; 7,500 to 10,000: %+v", early, late)
	if late.outcomes != w.limits.deduplicationWindow {
		t.Errorf("%d outcomes are remembered, of %d", late.outcomes, w.limits.deduplicationWindow)
	}
	if late.logBytes > early.logBytes*11/10 || late.waiting > early.waiting+8 || late.diskBytes > early.diskBytes*11/10 {
		t.Errorf("grown from %+v to %+v", early, late)
	}
}

// TestReturnAfterFiveHundredOrders has a member miss over 500 orders, with an old snapshot and a log that a loss of power tore: it is whole
// soon after it is back, for about the bytes of one image and the orders after it.
func TestReturnAfterFiveHundredOrders(t *testing.T) {
	for seed := uint64(0); seed < 10; seed++ {
		w := startedWorld(90+seed, 3, 1)
		w.keepOrders = 16
		w.limits.retainedLogBytes = 4 << 10
		w.compactAt = 16 << 10
		w.runUntil(2 * time.Second)
		w.order(t, "before", 50, func() {})
		away := w.nodes[2]
		away.propose("torn", nil)
		w.runUntil(w.now + 3*time.Millisecond)
		away.losePower()
		w.order(t, "missed", 600, func() {})
		copied, back := w.copied, w.now
		away.start(false)
		outside := w.nodes[0].core.epoch()
		if !w.runWhile(2*time.Second, func() bool { return away.core.epoch() <= outside || !away.core.serving() }) {
			t.Fatalf("seed %d: not whole after %v", seed, w.now-back)
		}
		image := w.nodes[0].core.state.Snapshot()
		most := 2*copyBytes(PrefixTransfer{Image: &image}) + w.limits.retainedLogBytes
		if copied = w.copied - copied; copied > most {
			t.Errorf("seed %d: %d bytes were copied, of at most %d", seed, copied, most)
		}
		t.Logf("whole %v after its return, for %d bytes", w.now-back, copied)
	}
}

package replica

import (
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

func (w *world) acknowledged(t *testing.T, n *simulatedNode, id string, limit time.Duration) time.Duration {
	t.Helper()
	start := w.now
	done := false
	n.propose(id, func(chain.Outcome) { done = true })
	if !w.runWhile(limit, func() bool { return !done }) {
		w.failf("order %s isn't acknowledged within %v", id, limit)
	}
	return w.now - start
}

func TestCalmChainAcknowledges(t *testing.T) {
	w := startedWorld(1, 3, 1)
	observer := w.addNode(false)
	w.after(100*time.Millisecond, func() { observer.start(true) })
	w.runUntil(time.Second)
	for i := 0; i < 20; i++ {
		for j, n := range w.nodes {
			took := w.acknowledged(t, n, fmt.Sprintf("%d-%d", i, j), time.Second)
			if took > 30*time.Millisecond {
				t.Errorf("order %d through %s took %v", i, n.name, took)
			}
			n.read()
		}
	}
	w.runUntil(w.now + time.Second)
	w.checkFresh()
	for _, n := range w.nodes {
		if len(n.machine.orders) != 80 {
			t.Errorf("%s applied %d orders", n.name, len(n.machine.orders))
		}
		since, proven := n.core.currentAsOf()
		if !proven || w.now-since > 900*time.Millisecond {
			t.Errorf("%s is fresh since %v at %v (%v)", n.name, since, w.now, proven)
		}
	}
	if until, ok := w.nodes[0].core.leaderLease(); !ok {
		t.Errorf("head doesn't lead (until %v)", until)
	}
}

func TestLossOfAnyMember(t *testing.T) {
	for victim := 0; victim < 3; victim++ {
		w := startedWorld(uint64(10+victim), 3, 1)
		w.runUntil(2 * time.Second)
		w.acknowledged(t, w.nodes[0], "before", time.Second)
		w.nodes[victim].kill()
		took := w.acknowledged(t, w.nodes[(victim+1)%3], "after", 3*time.Second)
		if took > 1500*time.Millisecond {
			t.Errorf("member %d killed: next order after %v", victim, took)
		}
		t.Logf("member %d killed: next order after %v", victim, took)
		w.nodes[victim].start(false)
		back := w.now
		n := w.nodes[victim]
		if !w.runWhile(2*time.Second, func() bool { return !n.core.serving() || len(n.core.view().Chain) != 3 }) {
			w.failf("not back in the chain")
		}
		t.Logf("back in the chain after %v", w.now-back)
	}
}

// TestOrderAroundBrokenLink cuts, one way or both, the link between the last member of a chain and its head, which the chain
// doesn't use: orders of the last member go by the one between them.
func TestOrderAroundBrokenLink(t *testing.T) {
	for _, ways := range [][]int{{0, 2}, {2, 0}, {0, 2, 2, 0}} {
		w := startedWorld(20, 3, 1)
		w.runUntil(2 * time.Second)
		for i := 0; i < len(ways); i += 2 {
			w.cut(w.nodes[ways[i]], w.nodes[ways[i+1]])
		}
		w.runUntil(5 * time.Second)
		if chain := w.nodes[1].core.view(); chain.Epoch != 1 {
			t.Errorf("cut %v: the view changed to epoch %d, %v", ways, chain.Epoch, chain)
		}
		took := w.acknowledged(t, w.nodes[2], "around", time.Second)
		t.Logf("cut %v: acknowledged after %v", ways, took)
	}
}

// TestOrderOfMemberLeftOut cuts the link between the head and the second member, so that the next view leaves one of them out: both
// still have their orders taken.
func TestOrderOfMemberLeftOut(t *testing.T) {
	w := startedWorld(21, 3, 1)
	w.runUntil(2 * time.Second)
	w.cut(w.nodes[0], w.nodes[1])
	w.cut(w.nodes[1], w.nodes[0])
	w.runUntil(5 * time.Second)
	for _, n := range w.nodes {
		took := w.acknowledged(t, n, "through "+n.name, time.Second)
		t.Logf("through %s: acknowledged after %v", n.name, took)
	}
}

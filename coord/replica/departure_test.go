package replica

import (
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// departureWait is how long a process waits for its planned departure before it ends all the same.
const departureWait = 2 * time.Second

// leave has a machine depart as planned: it leaves the chain and its process ends. done gets whether it was
// out by then.
func (n *simulatedNode) leave(done func(out bool)) {
	sim := n.sim
	incarnation, ended := n.incarnation, false
	end := func(out bool, departedIn view.View) {
		if ended || n.incarnation != incarnation {
			return
		}
		ended = true
		sim.tracef("%s has departed: %v", n.name, out)
		if out {
			n.checkLeave(departedIn)
		}
		n.kill()
		done(out)
	}
	if !n.up {
		done(false)
		return
	}
	sim.tracef("%s departs", n.name)
	n.handle(func() {
		if sim.bug == bugDepartEarly {
			sim.after(0, func() { n.endEarly(incarnation, end) })
		}
		onDeparted := func() {
			departedIn := n.core.view()
			sim.after(0, func() { end(true, departedIn) })
		}
		if !n.core.leave(sim.now, onDeparted) {
			sim.after(0, func() { end(false, view.View{}) })
		}
	})
	sim.after(departureWait, func() { end(false, view.View{}) })
}

// checkLeave checks that a member that ends as planned isn't needed any more: it is out of the chain, and all
// of the chain of the view in which it found that it may end has the complete prefix, unless the member has
// waited departureTimeout. A message that the member handled right after may have brought a later view, whose
// chain need not have completed its prefix yet.
func (n *simulatedNode) checkLeave(departedIn view.View) {
	sim, c := n.sim, n.core
	if c.departedAt > 0 && sim.now-c.departedAt > departureTimeout {
		return
	}
	if v := c.view(); v.InChain(c.self) {
		sim.failf("%s ends as planned in the chain of epoch %d", n.name, v.Epoch)
	}
	for _, m := range departedIn.Chain {
		if holder := sim.ownerOf(m); holder != nil && holder.disk.shadow.synced < departedIn.Epoch {
			sim.failf("%s ends as planned, and %s isn't complete in epoch %d", n.name, holder.name, departedIn.Epoch)
		}
	}
}

// endEarly is an injected bug: it ends a member as soon as it is out of the chain.
func (n *simulatedNode) endEarly(incarnation int, end func(out bool, departedIn view.View)) {
	switch {
	case n.incarnation != incarnation:
	case n.core.inChain():
		n.sim.after(time.Millisecond/2, func() { n.endEarly(incarnation, end) })
	default:
		end(true, n.core.view())
	}
}

// injectDeparture has a machine depart as planned, and return later.
func (c *campaign) injectDeparture(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.leave(func(bool) {
		c.restart(n, down)
		c.faultBegan(down)
	})
}

// injectDepartureAndWipe has a machine depart as planned, and others lose their disks meanwhile or right
// after: nothing is lost, and the chain goes on once the first has returned.
func (c *campaign) injectDepartureAndWipe(lost []*simulatedNode, down time.Duration) {
	leaving := c.chainMemberExcept(lost)
	if leaving == nil {
		c.injectWipe(lost, down)
		return
	}
	over := departureWait + down
	leaving.leave(func(bool) { c.restart(leaving, down) })
	c.after(c.randomDuration(400*time.Millisecond), func() { c.wipeAll(lost, down) })
	c.expectComplete(over)
	c.scheduleNextFault(over)
}

// chainMemberExcept returns a running machine of the newest chain that isn't among the others; nil if there
// is none.
func (c *campaign) chainMemberExcept(lost []*simulatedNode) *simulatedNode {
	for _, n := range c.members() {
		taken := !n.up || c.newestView() == nil || !c.newestView().core.view().InChain(n.core.self)
		for _, other := range lost {
			taken = taken || other == n
		}
		if !taken {
			return n
		}
	}
	return nil
}

// afterReplacement calls then as soon as a machine that departed for good isn't needed any more: at once if
// its departure was complete, else when its replacement has the complete prefix.
func (c *campaign) afterReplacement(left *simulatedNode, out bool, then func()) {
	newest := c.newestView()
	needed := newest == nil || newest.core.view().IsVoter(left.core.self)
	if out && !needed || !needed && c.chainComplete() {
		c.after(c.randomDuration(20*time.Millisecond), then)
		return
	}
	c.after(5*time.Millisecond, func() { c.afterReplacement(left, false, then) })
}

// injectPlannedReplacement adds a machine, has another one depart for good, and has others lose their disks
// once that one has departed, or once its time is over.
func (c *campaign) injectPlannedReplacement(lost []*simulatedNode, down time.Duration) {
	leaving := c.chainMemberExcept(lost)
	if leaving == nil {
		c.injectWipe(lost, down)
		return
	}
	replacement := c.addNode(true)
	c.tracef("%s is to be replaced by %s", leaving.name, replacement.name)
	replacement.start(false)
	c.after(time.Second+c.randomDuration(2*time.Second), func() {
		leaving.leave(func(out bool) {
			leaving.removed = true
			c.afterReplacement(leaving, out, func() {
				c.wipeAll(lost, down)
				c.faultBegan(down)
			})
		})
	})
}

// TestPlannedDeparture checks that a member that departs as planned is out of the chain at once, and that the
// others go on without a pause.
func TestPlannedDeparture(t *testing.T) {
	for position := 0; position < 3; position++ {
		for seed := uint64(0); seed < 50; seed++ {
			sim := startSimulatedCluster(seed, 3, 1)
			sim.runUntil(2*time.Second + time.Duration(sim.random.Int64N(int64(time.Second))))
			sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
			var leaving, staying *simulatedNode
			for _, n := range sim.nodes {
				if n.address == sim.nodes[0].core.view().Chain[position].Address {
					leaving = n
				} else {
					staying = n
				}
			}
			left := false
			leaving.handle(func() {
				leaving.core.onDeparted = func() {
					left = true
					for _, n := range sim.nodes {
						if n.core.epoch() < leaving.core.epoch() {
							sim.failf("%s ends, and %s doesn't know of the view without it", leaving.name, n.name)
						}
					}
				}
				leaving.core.announceDeparture(sim.now)
			})
			if !sim.runWhile(200*time.Millisecond, leaving.core.inChain) {
				sim.failf("%s is in the chain 200 ms after it asked to leave", leaving.name)
			}
			if took := sim.mustAcknowledge(t, staying, "after", time.Second); took > 400*time.Millisecond {
				t.Errorf("place %d, seed %d: next command after %v", position, seed, took)
			}
			sim.runUntil(sim.now + 3*time.Second)
			if !left {
				sim.failf("%s is not told of its departure", leaving.name)
			}
			if leaving.core.inChain() {
				sim.failf("a departing member was let in again")
			}
		}
	}
}

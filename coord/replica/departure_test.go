package replica

import (
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// departureWait is how long a process waits for its planned departure before it ends without it.
const departureWait = 2 * time.Second

// leave starts a planned departure of a machine: it leaves the chain, and then its process ends. done receives whether
// the machine had left the chain by then.
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

// checkLeave checks that a member whose process ends after a planned departure is no longer needed: it is out of the
// chain, and all members of the chain of departedIn, the view in which its departure completed, have the complete
// prefix, unless the member has waited for departureTimeout. The prefixes are checked for departedIn instead of the
// current view, because a message that the member handled afterwards may have brought a later view, whose chain need
// not have the complete prefix yet.
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
			sim.failf("%s ends as planned, but %s lacks the prefix of epoch %d", n.name, holder.name, departedIn.Epoch)
		}
	}
}

// endEarly implements bugDepartEarly: it ends a departing member's process as soon as the member is out of the chain.
func (n *simulatedNode) endEarly(incarnation int, end func(out bool, departedIn view.View)) {
	switch {
	case n.incarnation != incarnation:
	case n.core.inChain():
		n.sim.after(time.Millisecond/2, func() { n.endEarly(incarnation, end) })
	default:
		end(true, n.core.view())
	}
}

// injectDeparture makes a machine depart as planned, and return later.
func (c *campaign) injectDeparture(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.leave(func(bool) {
		c.restart(n, down)
		c.faultBegan(down)
	})
}

// injectDepartureAndWipe makes a machine depart as planned, while others lose their disks during the departure or right
// after it. No acknowledged command may be lost, and the chain must be complete again once the machine has returned.
func (c *campaign) injectDepartureAndWipe(lost []*simulatedNode, down time.Duration) {
	leaving := c.chainMemberExcept(lost)
	if leaving == nil {
		c.injectWipe(lost, down)
		return
	}
	faultDuration := departureWait + down
	leaving.leave(func(bool) { c.restart(leaving, down) })
	c.after(c.randomDuration(400*time.Millisecond), func() { c.wipeAll(lost, down) })
	c.expectComplete(faultDuration)
	c.scheduleNextFault(faultDuration)
}

// chainMemberExcept returns a running machine of the newest chain that isn't in lost, or nil if there is none.
func (c *campaign) chainMemberExcept(lost []*simulatedNode) *simulatedNode {
	for _, n := range c.members() {
		excluded := !n.up || c.newestView() == nil || !c.newestView().core.view().InChain(n.core.self)
		for _, other := range lost {
			excluded = excluded || other == n
		}
		if !excluded {
			return n
		}
	}
	return nil
}

// afterReplacement calls then soon after a machine that departed permanently is no longer needed: immediately if its
// departure was complete and it isn't a voter any more, else once it isn't a voter and the chain is complete.
func (c *campaign) afterReplacement(left *simulatedNode, out bool, then func()) {
	newest := c.newestView()
	needed := newest == nil || newest.core.view().IsVoter(left.core.self)
	if out && !needed || !needed && c.chainComplete() {
		c.after(c.randomDuration(20*time.Millisecond), then)
		return
	}
	c.after(5*time.Millisecond, func() { c.afterReplacement(left, false, then) })
}

// injectPlannedReplacement adds a machine and makes another one depart permanently. Others lose their disks once the
// departed machine is no longer needed, whether its departure was complete or was ended after departureWait.
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

// TestPlannedDeparture checks that a member in a planned departure leaves the chain within 200 ms, that a command of
// another member is then acknowledged within 400 ms, and that the member isn't added to the chain again.
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
							sim.failf("%s has departed, but %s doesn't know the view without it", leaving.name, n.name)
						}
					}
				}
				leaving.core.announceDeparture(sim.now)
			})
			if !sim.runWhile(200*time.Millisecond, leaving.core.inChain) {
				sim.failf("%s is in the chain 200 ms after it asked to leave", leaving.name)
			}
			if took := sim.mustAcknowledge(t, staying, "after", time.Second); took > 400*time.Millisecond {
				t.Errorf("position %d, seed %d: next command took %v, want at most 400 ms", position, seed, took)
			}
			sim.runUntil(sim.now + 3*time.Second)
			if !left {
				sim.failf("onDeparted of %s wasn't called", leaving.name)
			}
			if leaving.core.inChain() {
				sim.failf("the departed member was added to the chain again")
			}
		}
	}
}

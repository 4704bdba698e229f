package replica

import "time"

// leavePatience is how long a process waits for its place to be handed over before it ends all the same.
const departureWait = 2 * time.Second

// leave has a machine leave as planned: it hands its place over and its process ends. done tells whether it was out by then.
func (n *simulatedNode) leave(done func(out bool)) {
	sim := n.sim
	incarnation, ended := n.incarnation, false
	end := func(out bool) {
		if ended || n.incarnation != incarnation {
			return
		}
		ended = true
		sim.tracef("%s has handed over: %v", n.name, out)
		if out {
			n.checkLeave()
		}
		n.kill()
		done(out)
	}
	if !n.up {
		done(false)
		return
	}
	sim.tracef("%s hands over", n.name)
	n.handle(func() {
		if sim.bug == bugDepartEarly {
			sim.after(0, func() { n.endEarly(incarnation, end) })
		}
		if !n.core.leave(sim.now, func() { sim.after(0, func() { end(true) }) }) {
			sim.after(0, func() { end(false) })
		}
	})
	sim.after(departureWait, func() { end(false) })
}

// checkLeave checks that a member that ends as planned isn't needed any more: it is out of the chain, all of which holds what it holds.
// It may end before that once it has waited long enough.
func (n *simulatedNode) checkLeave() {
	sim, c := n.sim, n.core
	if c.departedAt > 0 && sim.now-c.departedAt > departureTimeout {
		return
	}
	v := c.view()
	if v.InChain(c.self) {
		sim.failf("%s ends as planned in the chain of epoch %d", n.name, v.Epoch)
	}
	for _, m := range v.Chain {
		if holder := sim.ownerOf(m); holder != nil && holder.disk.shadow.synced < v.Epoch {
			sim.failf("%s ends as planned, and %s isn't whole in epoch %d", n.name, holder.name, v.Epoch)
		}
	}
}

// endEarly ends a member as soon as it is out of the chain.
func (n *simulatedNode) endEarly(incarnation int, end func(out bool)) {
	switch {
	case n.incarnation != incarnation:
	case n.core.inChain():
		n.sim.after(time.Millisecond/2, func() { n.endEarly(incarnation, end) })
	default:
		end(true)
	}
}

// hazardLeave has a machine leave as planned, and come back later.
func (c *campaign) injectDeparture(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.leave(func(bool) {
		c.restart(n, down)
		c.faultBegan(down)
	})
}

// hazardLeaveAndWipe has a machine leave as planned, and others lose their disks meanwhile or right after: nothing is lost, and the
// chain goes on once the first is back.
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

// nextTo returns a machine of the newest chain that isn't among some.
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

// afterReplacement runs something as soon as a machine that left for good isn't needed any more: at once where it was told so, else when
// its successor is whole.
func (c *campaign) afterReplacement(left *simulatedNode, out bool, then func()) {
	newest := c.newestView()
	needed := newest == nil || newest.core.view().IsVoter(left.core.self)
	if out && !needed || !needed && c.chainComplete() {
		c.after(c.randomDuration(20*time.Millisecond), then)
		return
	}
	c.after(5*time.Millisecond, func() { c.afterReplacement(left, false, then) })
}

// hazardPlannedReplace starts a machine, has another leave for good, and has others lose their disks once that one has left, or once
// its time is over.
func (c *campaign) injectPlannedReplacement(lost []*simulatedNode, down time.Duration) {
	leaving := c.chainMemberExcept(lost)
	if leaving == nil {
		c.injectWipe(lost, down)
		return
	}
	fresh := c.addNode(true)
	c.tracef("%s is to be replaced by %s", leaving.name, fresh.name)
	fresh.start(false)
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

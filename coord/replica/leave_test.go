package replica

import "time"

// leavePatience is how long a process waits for its place to be handed over before it ends all the same.
const leavePatience = 2 * time.Second

// leave has a machine leave as planned: it hands its place over and its process ends. done tells whether it was out by then.
func (n *simulatedNode) leave(done func(out bool)) {
	w := n.world
	life, told := n.life, false
	end := func(out bool) {
		if told || n.life != life {
			return
		}
		told = true
		w.note("%s has handed over: %v", n.name, out)
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
	w.note("%s hands over", n.name)
	n.handle(func() {
		if w.plant == plantLeaveEarly {
			w.after(0, func() { n.endEarly(life, end) })
		}
		if !n.core.leave(w.now, func() { w.after(0, func() { end(true) }) }) {
			w.after(0, func() { end(false) })
		}
	})
	w.after(leavePatience, func() { end(false) })
}

// checkLeave checks that a member that ends as planned isn't needed any more: it is out of the chain, all of which holds what it holds.
// It may end before that once it has waited long enough.
func (n *simulatedNode) checkLeave() {
	w, c := n.world, n.core
	if c.departedAt > 0 && w.now-c.departedAt > departureTimeout {
		return
	}
	v := c.view()
	if v.InChain(c.self) {
		w.failf("%s ends as planned in the chain of epoch %d", n.name, v.Epoch)
	}
	for _, m := range v.Chain {
		if holder := w.holder(m); holder != nil && holder.disk.shadow.synced < v.Epoch {
			w.failf("%s ends as planned, and %s isn't whole in epoch %d", n.name, holder.name, v.Epoch)
		}
	}
}

// endEarly ends a member as soon as it is out of the chain.
func (n *simulatedNode) endEarly(life int, end func(out bool)) {
	switch {
	case n.life != life:
	case n.core.inChain():
		n.world.after(time.Millisecond/2, func() { n.endEarly(life, end) })
	default:
		end(true)
	}
}

// hazardLeave has a machine leave as planned, and come back later.
func (c *campaign) hazardLeave(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.leave(func(bool) {
		c.restart(n, down)
		c.lose(down)
	})
}

// hazardLeaveAndWipe has a machine leave as planned, and others lose their disks meanwhile or right after: nothing is lost, and the
// chain goes on once the first is back.
func (c *campaign) hazardLeaveAndWipe(lost []*simulatedNode, down time.Duration) {
	leaving := c.nextTo(lost)
	if leaving == nil {
		c.hazardWipe(lost, down)
		return
	}
	over := leavePatience + down
	leaving.leave(func(bool) { c.restart(leaving, down) })
	c.after(c.span(400*time.Millisecond), func() { c.wipeAll(lost, down) })
	c.expectWhole(over)
	c.next(over)
}

// nextTo returns a machine of the newest chain that isn't among some.
func (c *campaign) nextTo(lost []*simulatedNode) *simulatedNode {
	for _, n := range c.machines() {
		taken := !n.up || c.newest() == nil || !c.newest().core.view().InChain(n.core.self)
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
	newest := c.newest()
	needed := newest == nil || newest.core.view().IsVoter(left.core.self)
	if out && !needed || !needed && c.settled() {
		c.after(c.span(20*time.Millisecond), then)
		return
	}
	c.after(5*time.Millisecond, func() { c.afterReplacement(left, false, then) })
}

// hazardPlannedReplace starts a machine, has another leave for good, and has others lose their disks once that one has left, or once
// its time is over.
func (c *campaign) hazardPlannedReplace(lost []*simulatedNode, down time.Duration) {
	leaving := c.nextTo(lost)
	if leaving == nil {
		c.hazardWipe(lost, down)
		return
	}
	fresh := c.addNode(true)
	c.note("%s is to be replaced by %s", leaving.name, fresh.name)
	fresh.start(false)
	c.after(time.Second+c.span(2*time.Second), func() {
		leaving.leave(func(out bool) {
			leaving.gone = true
			c.afterReplacement(leaving, out, func() {
				c.wipeAll(lost, down)
				c.lose(down)
			})
		})
	})
}

package replica

import (
	"sort"
	"time"
)

// hazard is one kind of trouble within what is to be borne. begin brings it about to some of the machines for some time, and calls
// lose once for the moment at which the loss begins.
type hazard struct {
	name  string
	begin func(c *campaign, lost []*simulatedNode, down time.Duration)
}

// hazards are drawn alike.
var hazards []hazard

func init() {
	hazards = []hazard{
		{"kill", (*campaign).hazardKill},
		{"quick kill", (*campaign).hazardQuickKill},
		{"power", (*campaign).hazardPower},
		{"wipe", (*campaign).hazardWipe},
		{"wipe at acknowledgement", (*campaign).hazardWipeAtAck},
		{"freeze", (*campaign).hazardFreeze},
		{"cut off", (*campaign).hazardCutOff},
		{"long cut", (*campaign).hazardLongCut},
		{"cut link", (*campaign).hazardCutLink},
		{"resets", (*campaign).hazardResets},
		{"kill all", (*campaign).hazardKillAll},
		{"wipe and power of all", (*campaign).hazardWipeAll},
		{"wipe and power of all at acknowledgement", (*campaign).hazardWipeAllAtAck},
		{"replacement", (*campaign).hazardReplace},
		{"planned replacement", (*campaign).hazardPlannedReplace},
		{"addition", (*campaign).hazardAdd},
		{"leave", (*campaign).hazardLeave},
		{"leave and wipe", (*campaign).hazardLeaveAndWipe},
		{"stalled disk", (*campaign).hazardStall},
		{"slow disk", (*campaign).hazardSlow},
		{"full disk", (*campaign).hazardFull},
		{"away", (*campaign).hazardAway},
		{"interrupted copy", (*campaign).hazardInterruptedCopy},
	}
}

// longestLoss is about how long most losses last at most.
const longestLoss = 3 * time.Second

// fault brings one trouble within what is to be borne.
func (c *campaign) fault() {
	if c.now > c.end-2*time.Second {
		return
	}
	if !c.settled() && (c.duels || c.eager) {
		// Duels without end may keep a machine that came back empty from being taken in; a further loss
		// would then be one more than is to be borne.
		c.after(c.span(20*time.Millisecond), c.fault)
		return
	}
	c.faults++
	down := 100*time.Millisecond + c.span(longestLoss)
	chosen := c.drawHazard()
	lost := c.victims()
	c.note("HAZARD %s: %s and %d more", chosen.name, lost[0].name, len(lost)-1)
	chosen.begin(c, lost, down)
}

func (c *campaign) drawHazard() hazard {
	if c.only == "" {
		return hazards[c.random.IntN(len(hazards))]
	}
	for _, h := range hazards {
		if h.name == c.only {
			return h
		}
	}
	panic("no hazard " + c.only)
}

// next has the next trouble come once this one is over: when the page counts all as whole, or as soon as they are.
func (c *campaign) next(down time.Duration) {
	if c.eager {
		c.after(down, c.whenWhole)
		return
	}
	c.after(down+catchUp, c.fault)
}

// whenWhole brings the next trouble at the moment at which the chain is whole.
func (c *campaign) whenWhole() {
	if c.now > c.end-2*time.Second {
		return
	}
	if !c.allUp() || !c.settled() {
		c.after(2*time.Millisecond, c.whenWhole)
		return
	}
	c.after(c.span(20*time.Millisecond), c.fault)
}

// lose is what most hazards end with: the loss has begun and lasts so long.
func (c *campaign) lose(down time.Duration) {
	c.expect(down)
	c.next(down)
}

// victims draws as many machines as may be lost, rather those that vote, now and then the head or the tail first, and in some worlds
// those whose disks have lasted longest.
func (c *campaign) victims() []*simulatedNode {
	nodes := c.machines()
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	newest := c.newest()
	if newest != nil {
		sort.SliceStable(nodes, func(i, j int) bool { return c.rankOf(nodes[i], newest) < c.rankOf(nodes[j], newest) })
	}
	if c.oldest {
		sort.SliceStable(nodes, func(i, j int) bool { return nodes[i].diskSince < nodes[j].diskSince })
	}
	if c.random.IntN(4) == 0 {
		c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	return nodes[:1+c.random.IntN(c.tolerance)]
}

func (c *campaign) rankOf(n, newest *simulatedNode) int {
	v := newest.core.view()
	role := c.faults % 3
	switch {
	case n.life == 0 || !v.IsVoter(n.core.self):
		return 2
	case role == 1 && v.Head().Same(n.core.self), role == 2 && v.Tail().Same(n.core.self):
		return 0
	}
	return 1
}

func (c *campaign) hazardKill(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.kill()
		c.restart(n, down)
	}
	c.lose(down)
}

func (c *campaign) hazardQuickKill(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.kill()
		c.restart(n, 20*time.Millisecond+c.span(200*time.Millisecond))
	}
	c.lose(down)
}

func (c *campaign) hazardPower(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.losePower()
		c.restart(n, down)
	}
	c.lose(down)
}

func (c *campaign) wipeAll(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.wipe()
		c.restart(n, down)
		c.slowDown(n, down)
	}
}

// slowDown now and then has the disk of a machine that comes back work slowly while the machine catches up.
func (c *campaign) slowDown(n *simulatedNode, down time.Duration) {
	if c.random.IntN(4) != 0 {
		return
	}
	n.slow = 10
	c.after(down+time.Second, func() { n.slow = 1 })
}

func (c *campaign) hazardWipe(lost []*simulatedNode, down time.Duration) {
	c.wipeAll(lost, down)
	c.lose(down)
}

// atAck runs something at the next acknowledgement.
func (c *campaign) atAck(act func()) { c.onAcks = act }

func (c *campaign) hazardWipeAtAck(lost []*simulatedNode, down time.Duration) {
	c.atAck(func() {
		c.wipeAll(lost, down)
		c.lose(down)
	})
}

// hazardFreeze has machines stand still, now and then for as long as a machine may be away.
func (c *campaign) hazardFreeze(lost []*simulatedNode, down time.Duration) {
	if c.random.IntN(4) == 0 {
		down *= 4
	}
	for _, n := range lost {
		n.freeze()
		c.after(down, n.thaw)
	}
	c.lose(down)
}

func (c *campaign) hazardCutOff(lost []*simulatedNode, down time.Duration) {
	c.cutOff(lost, down)
	c.lose(down)
}

// longCut is how long a machine may be cut off.
const longCut = 20 * time.Second

func (c *campaign) hazardLongCut(lost []*simulatedNode, _ time.Duration) {
	down := min(longCut, max(c.end-c.now-4*time.Second, time.Second))
	c.cutOff(lost, down)
	c.lose(down)
}

// cutOff cuts machines from the other core machines, one way or both, and now and then from all.
func (c *campaign) cutOff(lost []*simulatedNode, down time.Duration) {
	oneWay := c.random.IntN(3)
	others := c.machines()
	if c.random.IntN(2) == 0 {
		others = c.nodes
	}
	c.note("%s and %d more cut off, kind %d", lost[0].name, len(lost)-1, oneWay)
	for _, n := range lost {
		n.cutOff, n.cutOffSince = true, c.now
		for _, other := range others {
			if other == n {
				continue
			}
			if oneWay != 1 {
				c.after(down, c.cut(n, other))
			}
			if oneWay != 2 {
				c.after(down, c.cut(other, n))
			}
		}
		c.after(down, func() { n.cutOff = false })
	}
}

func (c *campaign) hazardCutLink(_ []*simulatedNode, down time.Duration) {
	nodes := c.machines()
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	c.note("the link between %s and %s is cut", nodes[0].name, nodes[1].name)
	c.after(down, c.cut(nodes[0], nodes[1]))
	if c.random.IntN(2) == 0 {
		c.after(down, c.cut(nodes[1], nodes[0]))
	}
	c.lose(down)
}

func (c *campaign) hazardResets(_ []*simulatedNode, down time.Duration) {
	for i := 0; i < 20; i++ {
		c.after(c.span(down), c.reset)
	}
	c.lose(down)
}

// reset resets the connections of two machines: what is on its way between them is lost.
func (c *campaign) reset() {
	nodes := c.machines()
	from, to := nodes[c.random.IntN(len(nodes))], nodes[c.random.IntN(len(nodes))]
	c.resets[link{from.address, to.address}]++
	c.resets[link{to.address, from.address}]++
}

// killAll ends all processes within milliseconds, by kills or losses of power; wiped lose their disks. It returns how long it takes.
func (c *campaign) killAll(wiped []*simulatedNode, down time.Duration) time.Duration {
	power := c.random.IntN(2) == 0
	for _, n := range c.machines() {
		c.after(c.span(4*time.Millisecond), func() {
			n.end("is one of all that end", power)
			for _, other := range wiped {
				if other == n {
					n.wipe()
				}
			}
			c.restart(n, 50*time.Millisecond+c.span(down+time.Millisecond))
		})
	}
	return down + 100*time.Millisecond
}

// endAll ends all processes. What is expected counts from when all run again.
func (c *campaign) endAll(wiped []*simulatedNode, down time.Duration) {
	c.after(c.killAll(wiped, down), func() { c.lose(0) })
}

func (c *campaign) hazardKillAll([]*simulatedNode, time.Duration) {
	c.endAll(nil, c.span(time.Second))
}

func (c *campaign) hazardWipeAll(lost []*simulatedNode, _ time.Duration) {
	c.endAll(lost, c.span(time.Second))
}

func (c *campaign) hazardWipeAllAtAck(lost []*simulatedNode, _ time.Duration) {
	c.atAck(func() { c.endAll(lost, time.Second) })
}

// hazardReplace removes a machine for good; an empty one comes later at another address.
func (c *campaign) hazardReplace(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.kill()
	n.gone = true
	fresh := c.addNode(true)
	c.note("%s replaced by %s", n.name, fresh.name)
	c.after(down, func() { fresh.start(false) })
	c.lose(max(down, replacementTimeout))
}

// mostMachines bounds the machines of a world.
const mostMachines = 8

// hazardAdd starts a further machine, and others lose their disks while it joins.
func (c *campaign) hazardAdd(lost []*simulatedNode, down time.Duration) {
	if len(c.machines()) < mostMachines {
		fresh := c.addNode(true)
		c.note("%s added", fresh.name)
		fresh.start(false)
	}
	c.after(c.span(1500*time.Millisecond), func() {
		c.wipeAll(lost, down)
		c.lose(down)
	})
}

func (c *campaign) hazardStall(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		c.note("the disk of %s stalls", n.name)
		n.stalled = true
		c.after(down, func() { n.stalled = false })
	}
	c.lose(down)
}

func (c *campaign) hazardSlow(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		c.note("the disk of %s is slow", n.name)
		n.slow = 30
		c.after(down, func() { n.slow = 1 })
	}
	c.lose(down)
}

func (c *campaign) hazardFull(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		c.note("the disk of %s is full", n.name)
		n.refuseWrites(down)
	}
	c.lose(down)
}

// hazardAway has a machine miss hundreds of orders, and come back with an old snapshot and a torn log.
func (c *campaign) hazardAway(lost []*simulatedNode, _ time.Duration) {
	const down = 3 * time.Second
	c.think = busyTime
	c.after(down, func() { c.think = thinkTime })
	c.atAck(func() {
		for _, n := range lost {
			n.losePower()
			c.restart(n, down)
			c.slowDown(n, down)
		}
		c.lose(down)
	})
}

// hazardInterruptedCopy has a machine come back, and something happen in the midst of the copy that it needs.
func (c *campaign) hazardInterruptedCopy(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	if c.random.IntN(2) == 0 {
		n.wipe()
	} else {
		n.losePower()
	}
	c.restart(n, down)
	over := down + 2*time.Second
	c.after(down, func() {
		c.onCopy = func(source, target *simulatedNode) { c.interrupt(source, target, over-down) }
	})
	c.after(over, func() { c.onCopy = nil })
	c.expectWhole(over)
	c.next(over)
}

// interrupt ends or holds up a copy, for less than a time.
func (c *campaign) interrupt(source, target *simulatedNode, within time.Duration) {
	down := 50*time.Millisecond + c.span(within/2)
	kind := c.random.IntN(6)
	c.note("the copy from %s to %s is interrupted, kind %d", source.name, target.name, kind)
	switch kind {
	case 0:
		source.kill()
		c.restart(source, down)
	case 1:
		source.losePower()
		c.restart(source, down)
	case 2:
		source.freeze()
		c.after(down, source.thaw)
	case 3:
		target.losePower()
		c.restart(target, down)
	case 4:
		c.after(down, c.cut(source, target))
	case 5:
		c.after(down, c.cut(target, source))
	}
}

package replica

import (
	"sort"
	"time"
)

// hazard is one kind of trouble within what is to be borne. begin brings it about to some of the machines for some time, and calls
// lose once for the moment at which the loss begins.
type faultKind struct {
	name   string
	inject func(c *campaign, lost []*simulatedNode, down time.Duration)
}

// hazards are drawn alike.
var faultKinds []faultKind

func init() {
	faultKinds = []faultKind{
		{"kill", (*campaign).injectKill},
		{"quick kill", (*campaign).injectQuickKill},
		{"power", (*campaign).injectPowerLoss},
		{"wipe", (*campaign).injectWipe},
		{"wipe at acknowledgement", (*campaign).injectWipeAtAck},
		{"freeze", (*campaign).injectPause},
		{"cut off", (*campaign).injectPartition},
		{"long cut", (*campaign).injectLongPartition},
		{"cut link", (*campaign).injectLinkPartition},
		{"resets", (*campaign).injectResets},
		{"kill all", (*campaign).injectKillAll},
		{"wipe and power of all", (*campaign).injectWipeAndPowerLossOfAll},
		{"wipe and power of all at acknowledgement", (*campaign).injectWipeAndPowerLossOfAllAtAck},
		{"replacement", (*campaign).injectReplacement},
		{"planned replacement", (*campaign).injectPlannedReplacement},
		{"addition", (*campaign).injectAddition},
		{"leave", (*campaign).injectDeparture},
		{"leave and wipe", (*campaign).injectDepartureAndWipe},
		{"stalled disk", (*campaign).injectStalledDisk},
		{"slow disk", (*campaign).injectSlowDisk},
		{"full disk", (*campaign).injectFullDisk},
		{"away", (*campaign).injectLongAbsence},
		{"interrupted copy", (*campaign).injectInterruptedTransfer},
	}
}

// longestLoss is about how long most losses last at most.
const maxFaultDuration = 3 * time.Second

// fault brings one trouble within what is to be borne.
func (c *campaign) injectFault() {
	if c.now > c.end-2*time.Second {
		return
	}
	if !c.chainComplete() && (c.duels || c.backToBack) {
		// Duels without end may keep a machine that came back empty from being taken in; a further loss
		// would then be one more than is to be borne.
		c.after(c.randomDuration(20*time.Millisecond), c.injectFault)
		return
	}
	c.faults++
	down := 100*time.Millisecond + c.randomDuration(maxFaultDuration)
	chosen := c.drawFault()
	lost := c.victims()
	c.tracef("HAZARD %s: %s and %d more", chosen.name, lost[0].name, len(lost)-1)
	chosen.inject(c, lost, down)
}

func (c *campaign) drawFault() faultKind {
	if c.onlyFault == "" {
		return faultKinds[c.random.IntN(len(faultKinds))]
	}
	for _, h := range faultKinds {
		if h.name == c.onlyFault {
			return h
		}
	}
	panic("no hazard " + c.onlyFault)
}

// next has the next trouble come once this one is over: when the page counts all as whole, or as soon as they are.
func (c *campaign) scheduleNextFault(down time.Duration) {
	if c.backToBack {
		c.after(down, c.faultOnceComplete)
		return
	}
	c.after(down+catchUpTime, c.injectFault)
}

// whenWhole brings the next trouble at the moment at which the chain is whole.
func (c *campaign) faultOnceComplete() {
	if c.now > c.end-2*time.Second {
		return
	}
	if !c.noFaultActive() || !c.chainComplete() {
		c.after(2*time.Millisecond, c.faultOnceComplete)
		return
	}
	c.after(c.randomDuration(20*time.Millisecond), c.injectFault)
}

// lose is what most hazards end with: the loss has begun and lasts so long.
func (c *campaign) faultBegan(down time.Duration) {
	c.expectAvailable(down)
	c.scheduleNextFault(down)
}

// victims draws as many machines as may be lost, rather those that vote, now and then the head or the tail first, and in some worlds
// those whose disks have lasted longest.
func (c *campaign) victims() []*simulatedNode {
	nodes := c.members()
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	newest := c.newestView()
	if newest != nil {
		sort.SliceStable(nodes, func(i, j int) bool { return c.rankOf(nodes[i], newest) < c.rankOf(nodes[j], newest) })
	}
	if c.oldestDiskFirst {
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
	case n.incarnation == 0 || !v.IsVoter(n.core.self):
		return 2
	case role == 1 && v.Head().Same(n.core.self), role == 2 && v.Tail().Same(n.core.self):
		return 0
	}
	return 1
}

func (c *campaign) injectKill(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.kill()
		c.restart(n, down)
	}
	c.faultBegan(down)
}

func (c *campaign) injectQuickKill(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.kill()
		c.restart(n, 20*time.Millisecond+c.randomDuration(200*time.Millisecond))
	}
	c.faultBegan(down)
}

func (c *campaign) injectPowerLoss(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.losePower()
		c.restart(n, down)
	}
	c.faultBegan(down)
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
	n.diskSlowdown = 10
	c.after(down+time.Second, func() { n.diskSlowdown = 1 })
}

func (c *campaign) injectWipe(lost []*simulatedNode, down time.Duration) {
	c.wipeAll(lost, down)
	c.faultBegan(down)
}

// atAck runs something at the next acknowledgement.
func (c *campaign) atNextAck(act func()) { c.onNextAck = act }

func (c *campaign) injectWipeAtAck(lost []*simulatedNode, down time.Duration) {
	c.atNextAck(func() {
		c.wipeAll(lost, down)
		c.faultBegan(down)
	})
}

// hazardFreeze has machines stand still, now and then for as long as a machine may be away.
func (c *campaign) injectPause(lost []*simulatedNode, down time.Duration) {
	if c.random.IntN(4) == 0 {
		down *= 4
	}
	for _, n := range lost {
		n.pause()
		c.after(down, n.resume)
	}
	c.faultBegan(down)
}

func (c *campaign) injectPartition(lost []*simulatedNode, down time.Duration) {
	c.partitionNodes(lost, down)
	c.faultBegan(down)
}

// longCut is how long a machine may be cut off.
const longPartition = 20 * time.Second

func (c *campaign) injectLongPartition(lost []*simulatedNode, _ time.Duration) {
	down := min(longPartition, max(c.end-c.now-4*time.Second, time.Second))
	c.partitionNodes(lost, down)
	c.faultBegan(down)
}

// cutOff cuts machines from the other core machines, one way or both, and now and then from all.
func (c *campaign) partitionNodes(lost []*simulatedNode, down time.Duration) {
	oneWay := c.random.IntN(3)
	others := c.members()
	if c.random.IntN(2) == 0 {
		others = c.nodes
	}
	c.tracef("%s and %d more cut off, kind %d", lost[0].name, len(lost)-1, oneWay)
	for _, n := range lost {
		n.partitioned, n.partitionedSince = true, c.now
		for _, other := range others {
			if other == n {
				continue
			}
			if oneWay != 1 {
				c.after(down, c.partition(n, other))
			}
			if oneWay != 2 {
				c.after(down, c.partition(other, n))
			}
		}
		c.after(down, func() { n.partitioned = false })
	}
}

func (c *campaign) injectLinkPartition(_ []*simulatedNode, down time.Duration) {
	nodes := c.members()
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	c.tracef("the link between %s and %s is cut", nodes[0].name, nodes[1].name)
	c.after(down, c.partition(nodes[0], nodes[1]))
	if c.random.IntN(2) == 0 {
		c.after(down, c.partition(nodes[1], nodes[0]))
	}
	c.faultBegan(down)
}

func (c *campaign) injectResets(_ []*simulatedNode, down time.Duration) {
	for i := 0; i < 20; i++ {
		c.after(c.randomDuration(down), c.reset)
	}
	c.faultBegan(down)
}

// reset resets the connections of two machines: what is on its way between them is lost.
func (c *campaign) reset() {
	nodes := c.members()
	from, to := nodes[c.random.IntN(len(nodes))], nodes[c.random.IntN(len(nodes))]
	c.resets[link{from.address, to.address}]++
	c.resets[link{to.address, from.address}]++
}

// killAll ends all processes within milliseconds, by kills or losses of power; wiped lose their disks. It returns how long it takes.
func (c *campaign) killAll(wiped []*simulatedNode, down time.Duration) time.Duration {
	power := c.random.IntN(2) == 0
	for _, n := range c.members() {
		c.after(c.randomDuration(4*time.Millisecond), func() {
			n.end("is one of all that end", power)
			for _, other := range wiped {
				if other == n {
					n.wipe()
				}
			}
			c.restart(n, 50*time.Millisecond+c.randomDuration(down+time.Millisecond))
		})
	}
	return down + 100*time.Millisecond
}

// endAll ends all processes. What is expected counts from when all run again.
func (c *campaign) endAll(wiped []*simulatedNode, down time.Duration) {
	c.after(c.killAll(wiped, down), func() { c.faultBegan(0) })
}

func (c *campaign) injectKillAll([]*simulatedNode, time.Duration) {
	c.endAll(nil, c.randomDuration(time.Second))
}

func (c *campaign) injectWipeAndPowerLossOfAll(lost []*simulatedNode, _ time.Duration) {
	c.endAll(lost, c.randomDuration(time.Second))
}

func (c *campaign) injectWipeAndPowerLossOfAllAtAck(lost []*simulatedNode, _ time.Duration) {
	c.atNextAck(func() { c.endAll(lost, time.Second) })
}

// hazardReplace removes a machine for good; an empty one comes later at another address.
func (c *campaign) injectReplacement(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.kill()
	n.removed = true
	fresh := c.addNode(true)
	c.tracef("%s replaced by %s", n.name, fresh.name)
	c.after(down, func() { fresh.start(false) })
	c.faultBegan(max(down, replacementTimeout))
}

// mostMachines bounds the machines of a world.
const maxMachines = 8

// hazardAdd starts a further machine, and others lose their disks while it joins.
func (c *campaign) injectAddition(lost []*simulatedNode, down time.Duration) {
	if len(c.members()) < maxMachines {
		fresh := c.addNode(true)
		c.tracef("%s added", fresh.name)
		fresh.start(false)
	}
	c.after(c.randomDuration(1500*time.Millisecond), func() {
		c.wipeAll(lost, down)
		c.faultBegan(down)
	})
}

func (c *campaign) injectStalledDisk(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		c.tracef("the disk of %s stalls", n.name)
		n.diskStalled = true
		c.after(down, func() { n.diskStalled = false })
	}
	c.faultBegan(down)
}

func (c *campaign) injectSlowDisk(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		c.tracef("the disk of %s is slow", n.name)
		n.diskSlowdown = 30
		c.after(down, func() { n.diskSlowdown = 1 })
	}
	c.faultBegan(down)
}

func (c *campaign) injectFullDisk(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		c.tracef("the disk of %s is full", n.name)
		n.refuseWrites(down)
	}
	c.faultBegan(down)
}

// hazardAway has a machine miss hundreds of orders, and come back with an old snapshot and a torn log.
func (c *campaign) injectLongAbsence(lost []*simulatedNode, _ time.Duration) {
	const down = 3 * time.Second
	c.maxThinkTime = busyThinkTime
	c.after(down, func() { c.maxThinkTime = thinkTime })
	c.atNextAck(func() {
		for _, n := range lost {
			n.losePower()
			c.restart(n, down)
			c.slowDown(n, down)
		}
		c.faultBegan(down)
	})
}

// hazardInterruptedCopy has a machine come back, and something happen in the midst of the copy that it needs.
func (c *campaign) injectInterruptedTransfer(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	if c.random.IntN(2) == 0 {
		n.wipe()
	} else {
		n.losePower()
	}
	c.restart(n, down)
	over := down + 2*time.Second
	c.after(down, func() {
		c.onTransfer = func(source, target *simulatedNode) { c.interruptTransfer(source, target, over-down) }
	})
	c.after(over, func() { c.onTransfer = nil })
	c.expectComplete(over)
	c.scheduleNextFault(over)
}

// interrupt ends or holds up a copy, for less than a time.
func (c *campaign) interruptTransfer(source, target *simulatedNode, within time.Duration) {
	down := 50*time.Millisecond + c.randomDuration(within/2)
	kind := c.random.IntN(6)
	c.tracef("the copy from %s to %s is interrupted, kind %d", source.name, target.name, kind)
	switch kind {
	case 0:
		source.kill()
		c.restart(source, down)
	case 1:
		source.losePower()
		c.restart(source, down)
	case 2:
		source.pause()
		c.after(down, source.resume)
	case 3:
		target.losePower()
		c.restart(target, down)
	case 4:
		c.after(down, c.partition(source, target))
	case 5:
		c.after(down, c.partition(target, source))
	}
}

package replica

import (
	"sort"
	"time"
)

// faultKind is a kind of fault that the system must tolerate. inject causes it at some of the machines, for
// about the duration down, and calls faultBegan once, at the moment at which the loss begins.
type faultKind struct {
	name   string
	inject func(c *campaign, lost []*simulatedNode, down time.Duration)
}

// faultKinds are drawn with equal probability. Their order decides which one a seed draws. init fills them
// in, since the functions refer to them in turn.
var faultKinds []faultKind

func init() {
	faultKinds = []faultKind{
		{"kill", (*campaign).injectKill},
		{"quick kill", (*campaign).injectQuickKill},
		{"power loss", (*campaign).injectPowerLoss},
		{"wipe", (*campaign).injectWipe},
		{"wipe at acknowledgement", (*campaign).injectWipeAtAck},
		{"pause", (*campaign).injectPause},
		{"partition", (*campaign).injectPartition},
		{"long partition", (*campaign).injectLongPartition},
		{"link partition", (*campaign).injectLinkPartition},
		{"connection resets", (*campaign).injectResets},
		{"kill all", (*campaign).injectKillAll},
		{"wipe and power loss of all", (*campaign).injectWipeAndPowerLossOfAll},
		{"wipe and power loss of all at acknowledgement", (*campaign).injectWipeAndPowerLossOfAllAtAck},
		{"replacement", (*campaign).injectReplacement},
		{"planned replacement", (*campaign).injectPlannedReplacement},
		{"addition", (*campaign).injectAddition},
		{"departure", (*campaign).injectDeparture},
		{"departure and wipe", (*campaign).injectDepartureAndWipe},
		{"stalled disk", (*campaign).injectStalledDisk},
		{"slow disk", (*campaign).injectSlowDisk},
		{"full disk", (*campaign).injectFullDisk},
		{"long absence", (*campaign).injectLongAbsence},
		{"interrupted prefix transfer", (*campaign).injectInterruptedTransfer},
	}
}

// maxFaultDuration is about the longest duration of most faults.
const maxFaultDuration = 3 * time.Second

// injectFault injects one fault that the system must tolerate.
func (c *campaign) injectFault() {
	if c.now > c.end-2*time.Second {
		return
	}
	if !c.chainComplete() && (c.duels || c.backToBack) {
		// Endless duels may keep a machine that returned with an empty disk out of the voters. A further loss
		// would then be one more than must be tolerated.
		c.after(c.randomDuration(20*time.Millisecond), c.injectFault)
		return
	}
	c.faults++
	down := 100*time.Millisecond + c.randomDuration(maxFaultDuration)
	chosen := c.drawFault()
	lost := c.victims()
	c.tracef("FAULT %s: %s and %d more", chosen.name, lost[0].name, len(lost)-1)
	chosen.inject(c, lost, down)
}

// drawFault draws the kind of the next fault.
func (c *campaign) drawFault() faultKind {
	if c.onlyFault == "" {
		return faultKinds[c.random.IntN(len(faultKinds))]
	}
	for _, kind := range faultKinds {
		if kind.name == c.onlyFault {
			return kind
		}
	}
	panic("no fault of kind " + c.onlyFault)
}

// scheduleNextFault has the next fault follow this one: after catchUpTime, or as soon as the chain is
// complete.
func (c *campaign) scheduleNextFault(down time.Duration) {
	if c.backToBack {
		c.after(down, c.faultOnceComplete)
		return
	}
	c.after(down+catchUpTime, c.injectFault)
}

// faultOnceComplete injects the next fault at the moment at which the chain is complete.
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

// faultBegan says that a loss has begun and how long it lasts.
func (c *campaign) faultBegan(down time.Duration) {
	c.expectAvailable(down)
	c.scheduleNextFault(down)
}

// victims draws as many machines as may be lost: preferably voters, sometimes the head or the tail first, and
// in some runs those whose disks have lasted longest.
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

// rankOf returns how a machine ranks among the victims; the lowest come first.
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

// wipeAll has machines lose their disks, and restart.
func (c *campaign) wipeAll(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.wipe()
		c.restart(n, down)
		c.slowDown(n, down)
	}
}

// slowDown sometimes makes the disk of a returning machine slow while the machine catches up.
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

// atNextAck calls a function at the next acknowledgement.
func (c *campaign) atNextAck(act func()) { c.onNextAck = act }

func (c *campaign) injectWipeAtAck(lost []*simulatedNode, down time.Duration) {
	c.atNextAck(func() {
		c.wipeAll(lost, down)
		c.faultBegan(down)
	})
}

// injectPause pauses processes, sometimes for four times as long.
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

// longPartition is how long a machine may be partitioned.
const longPartition = 20 * time.Second

func (c *campaign) injectLongPartition(lost []*simulatedNode, _ time.Duration) {
	down := min(longPartition, max(c.end-c.now-4*time.Second, time.Second))
	c.partitionNodes(lost, down)
	c.faultBegan(down)
}

// partitionNodes partitions machines from the others with a disk, one way or both, and sometimes from
// learners, too.
func (c *campaign) partitionNodes(lost []*simulatedNode, down time.Duration) {
	oneWay := c.random.IntN(3)
	others := c.members()
	if c.random.IntN(2) == 0 {
		others = c.nodes
	}
	c.tracef("%s and %d more partitioned, kind %d", lost[0].name, len(lost)-1, oneWay)
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
	c.tracef("the link between %s and %s is partitioned", nodes[0].name, nodes[1].name)
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

// reset resets the connections between two machines: messages on their way are lost.
func (c *campaign) reset() {
	nodes := c.members()
	from, to := nodes[c.random.IntN(len(nodes))], nodes[c.random.IntN(len(nodes))]
	c.resets[link{from.address, to.address}]++
	c.resets[link{to.address, from.address}]++
}

// killAll ends all processes within milliseconds, by kills or a loss of power; the machines in wiped lose
// their disks. It returns how long this takes until all have restarted.
func (c *campaign) killAll(wiped []*simulatedNode, down time.Duration) time.Duration {
	powerLoss := c.random.IntN(2) == 0
	for _, n := range c.members() {
		c.after(c.randomDuration(4*time.Millisecond), func() {
			n.end("is one of all that end", powerLoss)
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

// endAll ends all processes. What is expected counts from when all have restarted.
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

// injectReplacement removes a machine for good; an empty one is added later at another address.
func (c *campaign) injectReplacement(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.kill()
	n.removed = true
	added := c.addNode(true)
	c.tracef("%s replaced by %s", n.name, added.name)
	c.after(down, func() { added.start(false) })
	c.faultBegan(max(down, replacementTimeout))
}

// maxMachines bounds the machines of a run.
const maxMachines = 8

// injectAddition adds a machine, and has others lose their disks while it joins.
func (c *campaign) injectAddition(lost []*simulatedNode, down time.Duration) {
	if len(c.members()) < maxMachines {
		added := c.addNode(true)
		c.tracef("%s added", added.name)
		added.start(false)
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

// injectLongAbsence has a machine miss hundreds of commands, and return with an old snapshot and a torn log.
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

// injectInterruptedTransfer has a machine return, and another fault happen during the prefix transfer that it
// needs.
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

// interruptTransfer ends or holds up a prefix transfer, for less than a time.
func (c *campaign) interruptTransfer(source, target *simulatedNode, within time.Duration) {
	down := 50*time.Millisecond + c.randomDuration(within/2)
	kind := c.random.IntN(6)
	c.tracef("the prefix transfer from %s to %s is interrupted, kind %d", source.name, target.name, kind)
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

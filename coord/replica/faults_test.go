package replica

import (
	"sort"
	"time"
)

// faultKind is a kind of fault that the system must tolerate. inject causes the fault at some of the machines, for
// approximately the duration down, and calls faultBegan once, when the loss begins.
type faultKind struct {
	name   string
	inject func(c *campaign, lost []*simulatedNode, down time.Duration)
}

// faultKinds are drawn with equal probability. Their order determines which of them a seed draws. They are set by init
// because the functions refer to faultKinds themselves.
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

// maxFaultDuration is the approximate maximum duration of most faults.
const maxFaultDuration = 3 * time.Second

// injectFault injects one fault that the system must tolerate.
func (c *campaign) injectFault() {
	if c.now > c.end-2*time.Second {
		return
	}
	if !c.chainComplete() && (c.duels || c.backToBack) {
		// Continuous duels may keep a machine that returned with an empty disk from becoming a voter. A further
		// loss would then exceed the tolerance.
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

// drawFault returns the kind of the next fault: a random one, or onlyFault.
func (c *campaign) drawFault() faultKind {
	if c.onlyFault == "" {
		return faultKinds[c.random.IntN(len(faultKinds))]
	}
	for _, kind := range faultKinds {
		if kind.name == c.onlyFault {
			return kind
		}
	}
	panic("unknown kind of fault: " + c.onlyFault)
}

// scheduleNextFault schedules the next fault: catchUpTime after the end of this one or, if backToBack is set, as soon
// as the chain is complete.
func (c *campaign) scheduleNextFault(down time.Duration) {
	if c.backToBack {
		c.after(down, c.faultOnceComplete)
		return
	}
	c.after(down+catchUpTime, c.injectFault)
}

// faultOnceComplete injects the next fault within 20 ms of the moment at which no fault is active and the chain is
// complete.
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

// faultBegan schedules the availability checks and the next fault. It is called when a loss begins that lasts for down.
func (c *campaign) faultBegan(down time.Duration) {
	c.expectAvailable(down)
	c.scheduleNextFault(down)
}

// victims returns the machines that the next fault affects, at most tolerance many. It prefers voters, for some faults
// the head or the tail, and in some runs the machines with the oldest disks.
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

// rankOf returns the rank of a machine as a victim: machines with a lower rank are preferred.
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

// wipeAll kills machines, replaces their disks by empty ones, and restarts them after the duration down.
func (c *campaign) wipeAll(lost []*simulatedNode, down time.Duration) {
	for _, n := range lost {
		n.wipe()
		c.restart(n, down)
		c.slowDown(n, down)
	}
}

// slowDown sometimes makes the disk of a restarting machine slow until one second after the restart.
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

// atNextAck registers a function that is called at the next acknowledgement.
func (c *campaign) atNextAck(callback func()) { c.onNextAck = callback }

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

// longPartition is the maximum duration of the fault "long partition".
const longPartition = 20 * time.Second

func (c *campaign) injectLongPartition(lost []*simulatedNode, _ time.Duration) {
	down := min(longPartition, max(c.end-c.now-4*time.Second, time.Second))
	c.partitionNodes(lost, down)
	c.faultBegan(down)
}

// partitionNodes partitions machines from the others with a disk, in one or both directions, and sometimes also from
// the learners.
func (c *campaign) partitionNodes(lost []*simulatedNode, down time.Duration) {
	oneWay := c.random.IntN(3)
	others := c.members()
	if c.random.IntN(2) == 0 {
		others = c.nodes
	}
	c.tracef("%s and %d more are partitioned, kind %d", lost[0].name, len(lost)-1, oneWay)
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

// reset resets the connections between two random machines: messages in transit are lost.
func (c *campaign) reset() {
	nodes := c.members()
	from, to := nodes[c.random.IntN(len(nodes))], nodes[c.random.IntN(len(nodes))]
	c.resets[link{from.address, to.address}]++
	c.resets[link{to.address, from.address}]++
}

// killAll ends all processes within 4 ms, by kills or by a power loss; the machines in wiped lose their disks. It
// returns the time until all have restarted.
func (c *campaign) killAll(wiped []*simulatedNode, down time.Duration) time.Duration {
	powerLoss := c.random.IntN(2) == 0
	for _, n := range c.members() {
		c.after(c.randomDuration(4*time.Millisecond), func() {
			n.end("ends together with all others", powerLoss)
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

// endAll ends all processes. The availability checks start when all processes have restarted.
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

// injectReplacement removes a machine permanently, and adds an empty one at another address later.
func (c *campaign) injectReplacement(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	n.kill()
	n.removed = true
	added := c.addNode(true)
	c.tracef("%s replaced by %s", n.name, added.name)
	c.after(down, func() { added.start(false) })
	c.faultBegan(max(down, replacementTimeout))
}

// maxMachines is the maximum number of machines with a disk to which injectAddition adds machines.
const maxMachines = 8

// injectAddition adds a machine. Others lose their disks while it joins.
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

// injectLongAbsence makes machines miss hundreds of commands, and return with an old snapshot and a torn log.
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

// injectInterruptedTransfer restarts a machine and injects another fault during the prefix transfer that the machine
// needs.
func (c *campaign) injectInterruptedTransfer(lost []*simulatedNode, down time.Duration) {
	n := lost[0]
	if c.random.IntN(2) == 0 {
		n.wipe()
	} else {
		n.losePower()
	}
	c.restart(n, down)
	faultDuration := down + 2*time.Second
	c.after(down, func() {
		c.onTransfer = func(source, target *simulatedNode) { c.interruptTransfer(source, target, faultDuration-down) }
	})
	c.after(faultDuration, func() { c.onTransfer = nil })
	c.expectComplete(faultDuration)
	c.scheduleNextFault(faultDuration)
}

// interruptTransfer interrupts or delays a prefix transfer by a fault at its source, its target or the link between
// them, for less than the duration within.
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

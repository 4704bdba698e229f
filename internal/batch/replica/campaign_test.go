package replica

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains campaigns: simulations under random load into which faults are injected one after the other, never
// more at once than must be tolerated.

const (
	loadDuration = 30 * time.Second // time under load, with faults
	catchUpTime  = 4800 * time.Millisecond
	recoveryTime = 12 * time.Second // time after the last fault in which all stores must recover
	auditTime    = 6 * time.Second
	maxStores    = 9
)

// campaign is a simulation with faults.
type campaign struct {
	*storeSimulation
	tolerance   int
	earlyFaults bool // the next fault may be injected as soon as the stores have reconciled
	submitted   int
	faults      int
	recoveredAt time.Duration // when all lost stores have returned
	onlyFaults  []string      // names of the faults that are injected; empty for all
}

// The faults.
const (
	faultKill          = "kills"
	faultPower         = "losses of power"
	faultWipe          = "lost disks"
	faultReplace       = "replacements"
	faultPause         = "pauses"
	faultPartition     = "partitions"
	faultSlowDisk      = "slow disks"
	faultFullDisk      = "full disks"
	faultTornOperation = "a loss of power within an operation"
	faultGrow          = "an addition"
	faultRetire        = "a planned departure"
	faultKillThenPower = "kills, then all lose power"
	faultAllPower      = "all lose power"
	faultAllPowerDisks = "all lose power, some their disks"
	faultCorruption    = "corrupt logs"
)

// fault is a kind of fault. inject applies it for a duration to some stores, no more than may be lost at once.
type fault struct {
	name   string
	inject func(lost []*simulatedStore, down time.Duration)
}

func newCampaign(seed uint64, bug string) *campaign {
	tolerance, stores := 1, 3+int(seed/4%3)
	if seed%4 == 3 {
		tolerance, stores = 2, 5+int(seed/4%3)
	}
	sim := newStoreSimulation(seed, stores, tolerance+1, bug)
	if seed%3 == 1 {
		sim.setRetention(20 * time.Second)
		sim.itemLifetime = []time.Duration{20 * time.Second, 8 * time.Second, 35 * time.Second}[seed/3%3]
	}
	if seed%5 == 2 {
		sim.lossRate = 0.03
	}
	sim.segmentSize = int64(300 + sim.random.IntN(6000))
	if seed%6 == 4 {
		sim.tokenLimit = testTokenLimit
	}
	return &campaign{storeSimulation: sim, tolerance: tolerance, earlyFaults: seed%2 == 0}
}

// runSeed runs a campaign and returns its first failure. If faults are named, only these are injected.
func runSeed(seed uint64, bug string, faults ...string) (c *campaign, err error) {
	defer func() {
		if caught := recover(); caught != nil {
			err = fmt.Errorf("at %v: panic: %v", c.now, caught)
		}
	}()
	c = newCampaign(seed, bug)
	c.onlyFaults = faults
	c.run()
	return c, c.failure
}

// run injects faults under load, ends them, and audits the result.
func (c *campaign) run() {
	c.runUntil(1500 * time.Millisecond)
	c.submitJobs()
	c.injectBugs()
	c.schedule(c.randomDuration(time.Second, 4*time.Second), c.injectFault)
	c.finish()
}

// finish runs the campaign until the load ends, ends all faults, and audits the result after the recovery.
func (c *campaign) finish() {
	c.runUntil(loadDuration)
	c.heal()
	c.runUntil(c.now + recoveryTime)
	c.audit()
}

// submitJobs submits batch jobs at random intervals until the faults end.
func (c *campaign) submitJobs() {
	if c.faultsEnded {
		return
	}
	c.submitted++
	c.clients.submit(fmt.Sprintf("job-%d", c.submitted), 1+c.random.IntN(6))
	c.schedule(c.randomDuration(100*time.Millisecond, 2*time.Second), c.submitJobs)
}

// injectFault injects one fault, and the next after it is over.
func (c *campaign) injectFault() {
	if c.faultsEnded || c.now > loadDuration-2*time.Second {
		return
	}
	c.faults++
	list := c.remaining()
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	lost := list[:1+c.random.IntN(c.tolerance)]
	down := c.randomDuration(50*time.Millisecond, 4*time.Second)
	kinds := c.faultKinds()
	if len(c.onlyFaults) > 0 {
		kinds = slices.DeleteFunc(kinds, func(kind fault) bool { return !slices.Contains(c.onlyFaults, kind.name) })
	}
	kind := kinds[c.random.IntN(len(kinds))]
	c.note("%s for %v", kind.name, down)
	kind.inject(lost, down)
	c.schedule(c.randomDuration(0, down), c.nextFault)
}

// extendRecovery records that lost stores return only after a duration.
func (c *campaign) extendRecovery(down time.Duration) { c.recoveredAt = max(c.recoveredAt, c.now+down) }

// nextFault injects the next fault once it has to be tolerated.
func (c *campaign) nextFault() {
	if c.toleratesNextFault() {
		c.injectFault()
		return
	}
	c.schedule(20*time.Millisecond, c.nextFault)
}

// toleratesNextFault reports whether the next loss has to be tolerated: all lost stores have returned, and either the
// time that stores may take to catch up has passed, or (with earlyFaults) they have caught up.
func (c *campaign) toleratesNextFault() bool {
	return c.now > c.recoveredAt && (c.now-c.recoveredAt >= catchUpTime || c.earlyFaults && c.toleratesLoss())
}

// faultKinds lists the kinds of faults. Each fault ends after the duration that it is given.
func (c *campaign) faultKinds() []fault {
	each := func(call func(s *simulatedStore, down time.Duration)) func([]*simulatedStore, time.Duration) {
		return func(lost []*simulatedStore, down time.Duration) {
			c.extendRecovery(down)
			for _, s := range lost {
				call(s, down)
			}
		}
	}
	restarted := func(call func(s *simulatedStore)) func([]*simulatedStore, time.Duration) {
		return each(func(s *simulatedStore, down time.Duration) {
			call(s)
			c.schedule(down, s.restart)
		})
	}
	kinds := []fault{
		{faultKill, restarted((*simulatedStore).kill)},
		{faultPower, restarted((*simulatedStore).losePower)},
		{faultWipe, restarted((*simulatedStore).wipe)},
		{faultWipe, restarted((*simulatedStore).wipe)},
		{faultReplace, each(c.replace)},
		{faultPause, each((*simulatedStore).pause)},
		{faultPause, each((*simulatedStore).pause)},
		{faultPartition, each(c.partitionStore)},
		{faultPartition, each(c.partitionOneWay)},
		{faultSlowDisk, each(c.slowDisk)},
		{faultFullDisk, each(func(s *simulatedStore, down time.Duration) { s.fill(int64(c.random.IntN(2000)), down) })},
		{faultTornOperation, each(func(s *simulatedStore, _ time.Duration) { s.disk.FailAt(1 + c.random.IntN(40)) })},
		{faultKill, each(c.killOften)},
		{faultGrow, c.grow},
		{faultRetire, c.retire},
		{faultRetire, c.retire},
		{faultKillThenPower, c.killThenAllLosePower},
		{faultAllPower, c.allLosePower},
		{faultAllPower, c.allLosePower},
		{faultAllPowerDisks, c.allLosePowerDisks},
		{faultAllPowerDisks, c.disksAfterAcceptance},
	}
	if slices.Contains(c.onlyFaults, faultCorruption) { // only if named, as disks otherwise keep synced data
		kinds = append(kinds, fault{faultCorruption, each(c.corruptStore)}, fault{faultCorruption, each(c.corruptStore)})
	}
	return kinds
}

// replace removes a store permanently. An empty store at another address replaces it, under the same name or another.
func (c *campaign) replace(s *simulatedStore, down time.Duration) {
	s.remove()
	c.note("%s is taken away", s.node)
	c.schedule(down, func() {
		if c.random.IntN(2) == 0 {
			c.addStore()
			return
		}
		fresh := newSimulatedStore(c.storeSimulation, s.node, fmt.Sprintf("ip-%d", 100+len(c.stores)), s.zone)
		c.stores = append(c.stores, fresh)
		fresh.start()
	})
}

// partitionStore partitions a store from all others, and from control in most cases.
func (c *campaign) partitionStore(s *simulatedStore, down time.Duration) {
	c.note("%s is partitioned", s.node)
	for _, other := range c.peersOf(s) {
		c.partition(s.node, other, down)
		c.partition(other, s.node, down)
	}
}

// partitionOneWay loses all messages from a store, or all to it.
func (c *campaign) partitionOneWay(s *simulatedStore, down time.Duration) {
	from := c.random.IntN(2) == 0
	c.note("%s is partitioned one way, from it: %v", s.node, from)
	for _, other := range c.peersOf(s) {
		if from {
			c.partition(s.node, other, down)
		} else {
			c.partition(other, s.node, down)
		}
	}
}

// peersOf lists the names of the other stores, and in most cases of control.
func (c *campaign) peersOf(s *simulatedStore) []string {
	var names []string
	if c.random.IntN(4) > 0 {
		names = append(names, controlName)
	}
	for _, other := range c.remaining() {
		if other != s {
			names = append(names, other.node)
		}
	}
	return names
}

// slowDisk slows a disk down by a factor of 40, or stalls it.
func (c *campaign) slowDisk(s *simulatedStore, down time.Duration) {
	stalled := c.random.IntN(2) == 0
	c.note("the disk of %s is slow, stalled: %v", s.node, stalled)
	s.stalled, s.slowdown = stalled, 40
	c.schedule(down, func() { s.stalled, s.slowdown = false, 1 })
}

// killOften kills a store several times, each time soon after its start.
func (c *campaign) killOften(s *simulatedStore, down time.Duration) {
	for range 3 {
		c.schedule(c.randomDuration(0, down), func() {
			if s.up {
				s.kill()
			}
			c.schedule(c.randomDuration(10*time.Millisecond, 100*time.Millisecond), s.restart)
		})
	}
	c.extendRecovery(down + 100*time.Millisecond)
}

// grow adds a store, up to maxStores.
func (c *campaign) grow([]*simulatedStore, time.Duration) {
	if len(c.remaining()) < maxStores {
		c.addStore()
	}
}

// retire drains a store. Once it is drained, it is removed, and sometimes disks are lost immediately afterwards.
func (c *campaign) retire(lost []*simulatedStore, _ time.Duration) {
	s := lost[0]
	if len(c.remaining()) == c.replicationFactor {
		return
	}
	outcome := c.command(statemachine.Command{Retire: &statemachine.Retire{Node: s.node, Remain: c.replicationFactor}})
	c.note("%s retires: %d", s.node, outcome)
	if outcome == statemachine.StoreChanged {
		c.awaitRetired(s)
	}
}

// awaitRetired removes a retiring store soon after control has agreed that it is drained.
func (c *campaign) awaitRetired(s *simulatedStore) {
	if c.control.Retirement(s.node) != statemachine.RetirementCompleted {
		c.schedule(30*time.Millisecond, func() { c.awaitRetired(s) })
		return
	}
	c.schedule(c.randomDuration(0, time.Second), func() {
		c.note("%s is drained and taken away", s.node)
		tolerated := !c.faultsEnded && c.toleratesNextFault()
		s.remove()
		if tolerated && c.random.IntN(2) == 0 {
			c.loseDisks()
		}
	})
}

// loseDisks loses as many disks as may be lost at once.
func (c *campaign) loseDisks() {
	list := c.remaining()
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.extendRecovery(time.Second)
	for _, s := range list[:c.tolerance] {
		s.wipe()
		c.schedule(c.randomDuration(100*time.Millisecond, time.Second), s.restart)
	}
}

// killThenAllLosePower kills stores, which restart at once, and cuts the power of all stores soon afterwards.
func (c *campaign) killThenAllLosePower(lost []*simulatedStore, down time.Duration) {
	c.extendRecovery(down)
	for _, s := range c.remaining() {
		if c.random.IntN(2) == 0 && s.up {
			s.kill()
			c.schedule(c.randomDuration(10*time.Millisecond, 100*time.Millisecond), s.restart)
		}
	}
	c.schedule(down/2, func() { c.cutPower(nil, down/2) })
}

func (c *campaign) allLosePower(_ []*simulatedStore, down time.Duration) { c.cutPower(nil, down) }

func (c *campaign) allLosePowerDisks(lost []*simulatedStore, down time.Duration) {
	c.cutPower(lost, down)
}

// disksAfterAcceptance cuts all power and loses some disks immediately after an acceptance.
func (c *campaign) disksAfterAcceptance(lost []*simulatedStore, down time.Duration) {
	c.extendRecovery(down)
	c.clients.onAccept = func() {
		if !c.faultsEnded {
			c.cutPower(lost, time.Second)
		}
	}
	c.schedule(down, func() { c.clients.onAccept = nil })
}

// cutPower cuts the power of all stores within milliseconds, and loses the disks of some.
func (c *campaign) cutPower(wiped []*simulatedStore, down time.Duration) {
	c.note("all lose power, %d their disks", len(wiped))
	c.extendRecovery(down + 10*time.Millisecond)
	for _, s := range c.remaining() {
		c.schedule(c.randomDuration(0, 3*time.Millisecond), func() {
			s.losePower()
			for _, other := range wiped {
				if other == s && !s.removed {
					s.wipe()
				}
			}
			c.schedule(c.randomDuration(50*time.Millisecond, max(down, 60*time.Millisecond)), s.restart)
		})
	}
}

// heal ends all faults.
func (sim *storeSimulation) heal() {
	sim.note("all faults end")
	sim.faultsEnded, sim.lossRate = true, 0
	clear(sim.partitions)
	sim.clients.onAccept = nil
	for _, s := range sim.remaining() {
		s.resume()
		s.stalled, s.slowdown = false, 1
		s.disk.SetCapacity(0)
		if s.up {
			s.disk.FailAt(0)
		}
		s.restart()
	}
}

// audit checks, after the recovery, that all accepted batch jobs are on enough disks, with all results that were read.
func (sim *storeSimulation) audit() {
	if sim.failure != nil {
		return
	}
	if !sim.checkAllReconciled() {
		return
	}
	sim.auditCapacity()
	sim.clients.stopped = true
	for _, j := range sim.clients.order {
		sim.auditJob(j)
	}
	sim.runUntil(sim.now + auditTime)
}

// checkAllReconciled checks that all stores have reconciled, and that none is still retiring.
func (sim *storeSimulation) checkAllReconciled() bool {
	view := sim.view()
	for _, member := range view.Members {
		if member.State == protocol.StoreRetiring && !sim.holdsExpired(placement.KeyOf(member.Process)) {
			sim.fail("%s is still not drained:%s", member.Node, sim.describeUndrained(member.Node))
		}
	}
	for _, s := range sim.remaining() {
		if !s.up || sim.isMember(s.key()) && s.machine.reconciledEpoch != view.Epoch {
			sim.fail("%s hasn't reconciled, up %v, epoch %d of %d: %+v%s", s.node, s.up, s.machine.reconciledEpoch, view.Epoch,
				s.machine.Status(), sim.describeUndrained(s.node))
		}
	}
	return sim.failure == nil
}

// holdsExpired reports whether a store still holds an expired batch job. The owner, whose clock may differ, may have
// dropped the batch job earlier.
func (sim *storeSimulation) holdsExpired(key placement.Key) bool {
	s := sim.storeOf(key)
	return s != nil && slices.ContainsFunc(s.machine.jobsInOrder, func(j *storedJob) bool {
		return !j.handedOver && sim.clients.expired(sim.clients.jobs[j.id])
	})
}

// auditJob checks an acknowledged batch job that hasn't expired: that its copies exist, and that all results can be
// read.
func (sim *storeSimulation) auditJob(j *clientJob) {
	if sim.clients.expired(j) {
		return
	}
	sim.clients.checkRejections(j)
	if !j.accepted {
		return
	}
	sim.auditCopies(j)
	sent, answered := sim.now, false
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t"}
	sim.clients.call(sim.someMember(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		answered = true
		read := len(j.seen)
		sim.clients.checkPage(j, 0, sent, answer)
		switch {
		case sim.clients.expired(j):
		case answer.Status != 200:
			sim.fail("%s: can't be read after recovery, %d:%s", j.id, answer.Status, sim.describe(j.id))
		case !j.endRequested && !j.allRead():
			sim.fail("%s: accepted at %v, only %d (before the audit: %d) of %d results were read:%s",
				j.id, j.acceptedAt, len(j.seen), read, len(j.items), sim.describe(j.id))
		}
	})
	sim.schedule(auditTime-time.Second, func() {
		if !answered {
			sim.fail("%s: isn't answered after recovery:%s", j.id, sim.describe(j.id))
		}
	})
}

// auditCopies checks that a batch job's newest version is on enough disks, with all results that were read.
func (sim *storeSimulation) auditCopies(j *clientJob) {
	newest, count := Version(0), 0
	for _, s := range sim.remaining() {
		stored := s.machine.jobs[j.id]
		switch {
		case stored == nil || stored.version < newest || !stored.versionDurable:
		case stored.version > newest:
			newest, count = stored.version, 0
			fallthrough
		default:
			if stored.durableResults >= len(j.seen) || j.endRequested {
				count++
			}
		}
	}
	if count < sim.replicationFactor {
		sim.fail("%s: is fully replicated on only %d stores:%s", j.id, count, sim.describe(j.id))
	}
}

func (sim *storeSimulation) someMember() *simulatedStore {
	for {
		if s := sim.anyStore(); s.up && sim.isMember(s.key()) {
			return s
		}
	}
}

// describeUndrained returns a text with the state that keeps a retiring store from being drained.
func (sim *storeSimulation) describeUndrained(node string) string {
	text := ""
	for _, s := range sim.remaining() {
		if s.node != node {
			continue
		}
		m := s.machine
		text += fmt.Sprintf(" reconciled %v, %d acceptances, transfers %+v", m.reconciled, len(m.acceptances), m.transfers)
		for id := range m.transfers {
			text += "\n" + id + sim.describe(id)
		}
		for _, j := range m.jobsInOrder {
			if !j.handedOver {
				text += "\n" + j.id + fmt.Sprintf(" handover replicas %d", len(j.handoverReplicas)) + sim.describe(j.id)
			}
		}
	}
	return text
}

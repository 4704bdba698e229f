package quota

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// simControl simulates a control process with an allocator.
type simControl struct {
	clock       driftingClock
	allocator   *Allocator
	configured  uint64        // index of the configuration that it has applied
	leadUntil   time.Duration // when its leadership ends; math.MaxInt64 while no end is scheduled
	pausedUntil time.Duration
	partition   partition
	dead        bool
}

// newControl starts a control process with an inactive allocator.
func (sim *simulation) newControl() *simControl {
	control := &simControl{clock: sim.newClock()}
	control.allocator = NewAllocator(AllocatorOptions{Rules: testRules, Random: sim.random.Uint64})
	control.configure(sim.snapshot)
	return control
}

func (c *simControl) configure(snapshot *configuration.Snapshot) {
	if snapshot.Index > c.configured {
		c.configured = snapshot.Index
		c.allocator.Configure(snapshot)
	}
}

// leader returns the process that the membership names as the leader, or nil.
func (sim *simulation) leader() *simControl {
	if sim.leaderIndex < 0 {
		return nil
	}
	return sim.controls[sim.leaderIndex]
}

// handle handles a request as a control process does: it reads the clock, then checks that it is the leader, then
// answers. With pauseNext it pauses between the check and the answer.
func (sim *simulation) handle(control *simControl, g *simGateway, incarnation int, request protocol.QuotaRequest) {
	if control.dead {
		return
	}
	if sim.now < control.pausedUntil {
		sim.schedule(control.pausedUntil, func() { sim.handle(control, g, incarnation, request) })
		return
	}
	clock, at := control.clock.read(), sim.now
	leads := sim.now < control.leadUntil || sim.bug == bugUnprovenLeader
	if leads && sim.pauseNext {
		sim.pauseNext = false
		sim.failOver(500*millisecond + sim.randomDuration(8*second))
		sim.schedule(control.pausedUntil, func() { sim.answer(control, g, incarnation, request, clock, at) })
		return
	}
	if !leads {
		sim.reply(control, g, incarnation, protocol.QuotaReply{Sequence: request.Sequence})
		return
	}
	sim.answer(control, g, incarnation, request, clock, at)
}

// answer makes the allocator answer a request as of a time at which the process was the leader: clock is that time
// by the process's own clock, at is the same time in simulation time.
func (sim *simulation) answer(
	control *simControl, g *simGateway, incarnation int, request protocol.QuotaRequest, clock, at time.Duration,
) {
	if control.dead {
		return
	}
	began := time.Now()
	reply := control.allocator.Request(clock, request)
	sim.allocatorTime += time.Since(began)
	sim.checker.recordAnswer(max(at, control.clock.simTime(control.allocator.now)-clockRounding), reply.Term)
	if !sim.windowsOnly {
		control.allocator.checkInvariants()
	}
	if control.allocator.FloorChangeUrgent() {
		sim.schedule(sim.now+millisecond, sim.maintainGrantees)
	}
	sim.reply(control, g, incarnation, reply)
}

// reply sends a reply to one incarnation of a gateway.
func (sim *simulation) reply(control *simControl, g *simGateway, incarnation int, reply protocol.QuotaReply) {
	if delay := g.delay(control, inbound); delay >= 0 {
		sim.schedule(sim.now+delay, func() { g.handleReply(incarnation, reply) })
	}
}

// elect makes a control process the leader at decided+wait, when the previous leader's lease has certainly ended. It
// chooses the first process from index next on that is running and connected.
func (sim *simulation) elect(next int, decided, wait time.Duration) {
	sim.schedule(decided+wait, func() {
		for range sim.controls {
			if candidate := sim.controls[next]; !candidate.dead && sim.now >= max(candidate.pausedUntil, candidate.partition.until) {
				sim.becomeGrantor(next)
				return
			}
			next = (next + 1) % len(sim.controls)
		}
		sim.elect(next, sim.now, 100*millisecond)
	})
}

// becomeGrantor makes a process record itself as the grantor and then start its allocator.
func (sim *simulation) becomeGrantor(next int) {
	control := sim.controls[next]
	sim.grantor = control
	sim.grantorTerm++
	grantees, floors := append([]string{}, sim.grantees...), sim.floorList()
	sim.schedule(sim.now+sim.randomDuration(50*millisecond), func() {
		if sim.grantor != control || control.dead || sim.now < max(control.pausedUntil, control.partition.until) {
			sim.elect(next, sim.now, takeOverDelay)
			return
		}
		sim.leaderIndex = next
		control.configure(sim.snapshot)
		if sim.bug == bugGranteesForgotten {
			grantees = []string{}
		}
		control.allocator.Start(control.clock.read(), 0, grantees, floors)
		if sim.bug == bugNoLearning {
			control.allocator.learningUntil = control.allocator.now
		}
		control.leadUntil = math.MaxInt64
	})
}

// maintainGrantees does the leader's periodic work: it changes the recorded floors and grantees as its allocator
// demands. A change by a leader that already has a successor has no effect.
func (sim *simulation) maintainGrantees() {
	control := sim.leader()
	if control == nil || sim.now >= control.leadUntil || sim.now < control.pausedUntil || sim.changePending {
		return
	}
	now := control.clock.read()
	if floors := control.allocator.FloorChanges(now); len(floors) > 0 {
		sim.recordFloors(control, floors)
		return
	}
	if stale := control.allocator.EvictGrantees(now); len(stale) > 0 {
		sim.changeGrantees(func() {
			sim.grantees = slices.DeleteFunc(sim.grantees, func(node string) bool { return slices.Contains(stale, node) })
		}, func() {})
		return
	}
	if missing := control.allocator.MissingGrantees(); len(missing) > 0 {
		sim.changeGrantees(func() {
			for _, node := range missing {
				if !slices.Contains(sim.grantees, node) {
					sim.grantees = append(sim.grantees, node)
				}
			}
		}, func() { control.allocator.GranteesRecorded(missing) })
	}
}

// changeGrantees changes the record after a delay, unless there is a new grantor by then, and later notifies the
// grantor.
func (sim *simulation) changeGrantees(record, notify func()) {
	sim.changePending = true
	term := sim.grantorTerm
	sim.schedule(sim.now+sim.randomDuration(40*millisecond), func() {
		sim.changePending = false
		if sim.grantorTerm != term {
			return
		}
		record()
		sim.schedule(sim.now+sim.randomDuration(40*millisecond), func() {
			if sim.grantorTerm == term {
				notify()
			}
		})
	})
}

// recordFloors records floors after a delay. At random the change is lost, or the notification of the leader.
func (sim *simulation) recordFloors(control *simControl, floors []Floor) {
	sim.changePending = true
	lossShare := min(0.1, 10*sim.lossRate)
	term := sim.grantorTerm
	lost, unnotified := sim.random.Float64() < lossShare, sim.random.Float64() < lossShare
	sim.schedule(sim.now+sim.randomDuration(20*millisecond), func() {
		sim.changePending = false
		if sim.grantorTerm != term || lost {
			return
		}
		if sim.floors == nil {
			sim.floors = map[string]int64{}
		}
		for _, floor := range floors {
			if sim.bug != bugFloorsNotLowered || floor.Tokens > sim.floors[floor.Tenant] {
				sim.floors[floor.Tenant] = floor.Tokens
			}
		}
		if !unnotified {
			control.allocator.FloorsRecorded(floors)
		}
	})
}

// floorList returns the recorded floors.
func (sim *simulation) floorList() (list []Floor) {
	for name := range sortedNames(sim.floors) {
		list = append(list, Floor{name, sim.floors[name]})
	}
	return list
}

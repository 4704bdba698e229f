package quota

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

// Lengths of troubles.
const (
	maxPartition = 20 * second
	maxPause     = 8 * second
	maxGateways  = 20
)

// trouble brings one about, now and then.
func (sim *simulation) injectFault() {
	if sim.now < 8*second || sim.faultsStopped {
		return
	}
	sim.faults++
	g := sim.gateways[sim.random.IntN(len(sim.gateways))]
	switch sim.random.IntN(20) {
	case 0:
		g.crash(200*millisecond + sim.randomDuration(2*second))
	case 1:
		g.pause(sim.randomDuration(maxPause))
	case 2:
		g.cutOffBy(sim.newPartition(maxPartition))
	case 3:
		if len(sim.gateways) < maxGateways {
			sim.addGateway()
		}
	case 4:
		sim.failOver(0)
	case 5:
		sim.failOver(500*millisecond + sim.randomDuration(maxPause))
	case 6:
		if !sim.steadyLimits {
			sim.changeLimits()
		}
	case 7:
		sim.restartHalf()
	case 8:
		g.share = 0.1 + 3*sim.random.Float64()
	case 9:
		sim.partitionLeader(g)
	case 10:
		sim.pauseNext = true
	case 11:
		sim.depose()
	case 12:
		sim.handOver()
	case 13:
		sim.restartLeader()
	case 14:
		sim.replaceControl(sim.random.IntN(len(sim.controls)))
	case 15:
		sim.losePower()
	case 16:
		for _, one := range sim.gateways {
			if sim.random.IntN(2) == 0 {
				one.pause(sim.randomDuration(maxPause))
			}
		}
	}
}

// changeLimits raises and lowers limits, and has tenants go and come back.
func (sim *simulation) changeLimits() {
	tenants := append(slices.Clone(sim.snapshot.Tenants), sim.removedTenants...)
	sim.removedTenants = nil
	if i := sim.random.IntN(3 * len(tenants)); i < len(tenants) {
		sim.removedTenants = []configuration.Tenant{tenants[i]}
		tenants = slices.Delete(tenants, i, i+1)
	}
	for i := range tenants {
		if sim.random.IntN(3) == 0 {
			factor := 0.4 + 1.2*sim.random.Float64()
			tenants[i].RatePerSec = max(1, sim.usualRate[tenants[i].Name]*1.6*factor)
			tenants[i].Burst = tenants[i].RatePerSec
		}
	}
	sim.configure(tenants)
}

func (sim *simulation) restartHalf() {
	for _, one := range sim.gateways {
		if sim.random.IntN(2) == 0 {
			one.crash(200*millisecond + sim.randomDuration(second))
		}
	}
}

// acting gives the machine that leads with nothing in its way, or nil.
func (sim *simulation) activeLeader() *simControl {
	control := sim.leader()
	if control == nil || control.leadUntil < math.MaxInt64 {
		return nil
	}
	return control
}

// lose ends the time of the lead: others decide on a view without it, and its proof of the epoch ages.
func (sim *simulation) deposeAfterSuspicion(control *simControl) {
	decided := sim.now + 700*millisecond + sim.randomDuration(600*millisecond)
	control.leadUntil = min(decided, sim.now+leaderLease)
	sim.elect((sim.leaderIndex+1)%len(sim.controls), decided, sim.takeOverWait())
}

func (sim *simulation) takeOverWait() time.Duration {
	if sim.bug == bugEarlyStart {
		return 0
	}
	return takeOverDelay
}

// failOver ends the lead: by death, or by a freeze from which it wakes later.
func (sim *simulation) failOver(freeze time.Duration) {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	sim.deposeAfterSuspicion(control)
	if freeze > 0 {
		control.pausedUntil = sim.now + freeze
		return
	}
	sim.replaceAfter(sim.leaderIndex, control, sim.randomDuration(3*second))
}

// replaceAfter ends a process, and begins another in its place.
func (sim *simulation) replaceAfter(index int, control *simControl, downFor time.Duration) {
	control.dead = true
	sim.schedule(sim.now+downFor, func() {
		if sim.controls[index] == control {
			sim.controls[index] = sim.newControl()
		}
	})
}

// isolate cuts the lead off, both ways or one way, from the other control machines and from the gateways; some of
// these reach nobody but it.
func (sim *simulation) partitionLeader(g *simGateway) {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	sim.deposeAfterSuspicion(control)
	length := second + sim.randomDuration(maxPartition-second)
	control.partition = partition{sim.now + length, direction(sim.random.IntN(3))}
	if sim.random.IntN(2) == 0 {
		g.reachOnly(control, length)
	}
	if sim.random.IntN(3) == 0 && len(sim.gateways) < maxGateways {
		fresh := sim.addGateway()
		fresh.reachOnly(control, length)
	}
}

// depose decides on another head while the present one is in touch and has just proven its epoch.
func (sim *simulation) depose() {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	control.leadUntil = sim.now + leaderLease
	sim.elect((sim.leaderIndex+1)%len(sim.controls), sim.now, sim.takeOverWait())
}

// handOver ends the lead as planned: it hands its task on, and another begins at once.
func (sim *simulation) handOver() {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	control.leadUntil = sim.now
	control.allocator.Stop()
	sim.elect((sim.leaderIndex+1)%len(sim.controls), sim.now, sim.randomDuration(100*millisecond))
}

// restartLead ends the lead's process; its next life on the same disk begins at once.
func (sim *simulation) restartLeader() {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	index := sim.leaderIndex
	control.leadUntil, control.dead = sim.now, true
	sim.controls[index] = sim.newControl()
	sim.elect(index, sim.now, 150*millisecond+sim.randomDuration(500*millisecond))
}

// replace ends a control machine for good, and puts an empty one in its place.
func (sim *simulation) replaceControl(index int) {
	control := sim.controls[index]
	if control == sim.leader() {
		sim.failOver(0)
		return
	}
	control.leadUntil = 0
	sim.replaceAfter(index, control, sim.randomDuration(second))
}

// losePower ends all processes; the record is on disks.
func (sim *simulation) losePower() {
	lead := sim.activeLeader()
	if lead == nil {
		return
	}
	for index, control := range sim.controls {
		sim.replaceAfter(index, control, 0)
	}
	lead.leadUntil = sim.now
	sim.elect(sim.random.IntN(len(sim.controls)), sim.now, takeOverDelay+sim.randomDuration(second))
	for _, g := range sim.gateways {
		g.crash(200*millisecond + sim.randomDuration(second))
	}
}

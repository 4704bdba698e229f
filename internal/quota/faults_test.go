package quota

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

// Limits of the injected faults.
const (
	maxPartition = 20 * second
	maxPause     = 8 * second
	maxGateways  = 20
)

// injectFault injects a randomly chosen fault, or sometimes none.
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
		g.partitionBy(sim.newPartition(maxPartition))
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
		for _, other := range sim.gateways {
			if sim.random.IntN(2) == 0 {
				other.pause(sim.randomDuration(maxPause))
			}
		}
	}
}

// changeLimits raises and lowers limits, and removes tenants or adds removed ones again.
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

// restartHalf restarts each gateway with probability 1/2.
func (sim *simulation) restartHalf() {
	for _, g := range sim.gateways {
		if sim.random.IntN(2) == 0 {
			g.crash(200*millisecond + sim.randomDuration(second))
		}
	}
}

// activeLeader returns the leader, or nil if there is none or the end of its leadership has been scheduled.
func (sim *simulation) activeLeader() *simControl {
	control := sim.leader()
	if control == nil || control.leadUntil < math.MaxInt64 {
		return nil
	}
	return control
}

// deposeAfterSuspicion ends a leadership as a failure detector does: the other control processes suspect the leader
// and decide on a view without it, while its lease runs out.
func (sim *simulation) deposeAfterSuspicion(control *simControl) {
	decided := sim.now + 700*millisecond + sim.randomDuration(600*millisecond)
	control.leadUntil = min(decided, sim.now+leaderLease)
	sim.elect((sim.leaderIndex+1)%len(sim.controls), decided, sim.takeOverWait())
}

// takeOverWait returns the time from the decision on a new leader to its start.
func (sim *simulation) takeOverWait() time.Duration {
	if sim.bug == bugEarlyStart {
		return 0
	}
	return takeOverDelay
}

// failOver ends the leadership by a crash, or by a pause from which the leader resumes later.
func (sim *simulation) failOver(pause time.Duration) {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	sim.deposeAfterSuspicion(control)
	if pause > 0 {
		control.pausedUntil = sim.now + pause
		return
	}
	sim.replaceAfter(sim.leaderIndex, control, sim.randomDuration(3*second))
}

// replaceAfter ends a control process and starts a new one in its place after downFor.
func (sim *simulation) replaceAfter(index int, control *simControl, downFor time.Duration) {
	control.dead = true
	sim.schedule(sim.now+downFor, func() {
		if sim.controls[index] == control {
			sim.controls[index] = sim.newControl()
		}
	})
}

// partitionLeader separates the leader, in one direction or both, from the other control processes and from the
// gateways; some gateways may reach only the leader.
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
		added := sim.addGateway()
		added.reachOnly(control, length)
	}
}

// depose elects another leader while the current one is connected and has just renewed its lease.
func (sim *simulation) depose() {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	control.leadUntil = sim.now + leaderLease
	sim.elect((sim.leaderIndex+1)%len(sim.controls), sim.now, sim.takeOverWait())
}

// handOver ends the leadership in a planned way: the leader stops, and another starts at once.
func (sim *simulation) handOver() {
	control := sim.activeLeader()
	if control == nil {
		return
	}
	control.leadUntil = sim.now
	control.allocator.Stop()
	sim.elect((sim.leaderIndex+1)%len(sim.controls), sim.now, sim.randomDuration(100*millisecond))
}

// restartLeader restarts the leader's process; its next incarnation, on the same disk, becomes the leader soon after.
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

// replaceControl ends a control process permanently and starts an empty one in its place. The leader fails over
// instead.
func (sim *simulation) replaceControl(index int) {
	control := sim.controls[index]
	if control == sim.leader() {
		sim.failOver(0)
		return
	}
	control.leadUntil = 0
	sim.replaceAfter(index, control, sim.randomDuration(second))
}

// losePower restarts all processes, as after a power failure; the record survives on the disks.
func (sim *simulation) losePower() {
	leader := sim.activeLeader()
	if leader == nil {
		return
	}
	for index, control := range sim.controls {
		sim.replaceAfter(index, control, 0)
	}
	leader.leadUntil = sim.now
	sim.elect(sim.random.IntN(len(sim.controls)), sim.now, takeOverDelay+sim.randomDuration(second))
	for _, g := range sim.gateways {
		g.crash(200*millisecond + sim.randomDuration(second))
	}
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// simGateway simulates a gateway's process: a Client, and what quotaclient does around it.
type simGateway struct {
	sim                *simulation
	node               string
	clock              driftingClock
	client             *Client
	snapshot           *configuration.Snapshot // newest configuration applied; nil: none yet
	incarnation        int
	alive              bool
	pausedUntil        time.Duration
	pausedAt           time.Duration // by the gateway's clock
	partition          partition
	onlyReachable      *simControl // the only control process that it reaches, until onlyReachableUntil
	onlyReachableUntil time.Duration
	connectedSince     time.Duration // from then on it is connected and configured, unless another fault happens
	allocator          *simControl   // the process that the membership names; nil: not known
	waiting            []*waitingRequest
	wakeAt             time.Duration
	share              float64 // weight of this gateway in the random choice of a gateway for a request
	entitlement        entitlement
}

// waitingRequest is a request that waits for a token.
type waitingRequest struct {
	tenant   *configuration.Tenant
	deadline time.Duration
}

// addGateway adds a gateway and starts it.
func (sim *simulation) addGateway() *simGateway {
	g := &simGateway{sim: sim, node: fmt.Sprintf("front-%d", len(sim.gateways)), clock: sim.newClock()}
	g.share = 0.4 + 1.2*sim.random.Float64()
	sim.gateways = append(sim.gateways, g)
	g.start()
	return g
}

// start starts the next incarnation.
func (g *simGateway) start() {
	sim := g.sim
	g.incarnation++
	g.alive, g.pausedUntil, g.waiting, g.wakeAt = true, 0, nil, -1
	g.connectedSince = max(g.connectedSince, sim.now+3*second)
	g.snapshot, g.allocator = nil, nil
	g.client = NewClient(ClientOptions{
		Process: protocol.Process{Node: g.node, Incarnation: fmt.Sprint(g.incarnation)},
		Random:  rand.New(rand.NewPCG(sim.random.Uint64(), 1)),
	})
	g.entitlement = newEntitlement()
	g.applySnapshot(g.incarnation, sim.snapshot)
	incarnation := g.incarnation
	sim.schedule(sim.now+100*millisecond+sim.randomDuration(300*millisecond), func() { g.updateAllocatorAddress(incarnation) })
}

// applySnapshot applies a configuration as soon as the gateway is reachable.
func (g *simGateway) applySnapshot(incarnation int, snapshot *configuration.Snapshot) {
	sim := g.sim
	if g.incarnation != incarnation || !g.alive {
		return
	}
	if until := max(g.partition.until, g.pausedUntil, g.onlyReachableUntil); sim.now < until {
		sim.schedule(until+millisecond, func() { g.applySnapshot(incarnation, snapshot) })
		return
	}
	if g.snapshot != nil && g.snapshot.Index > snapshot.Index {
		return
	}
	g.snapshot = snapshot
	g.client.Configure(snapshot)
}

// crash ends the process and starts the next incarnation after downFor.
func (g *simGateway) crash(downFor time.Duration) {
	if !g.alive {
		return
	}
	g.alive = false
	g.sim.schedule(g.sim.now+downFor, g.start)
}

// pause stops the process for a time, as SIGSTOP and SIGCONT do.
func (g *simGateway) pause(length time.Duration) {
	g.pausedAt = g.clock.read()
	g.pausedUntil = g.sim.now + length
	g.connectedSince = max(g.connectedSince, g.pausedUntil+3*second)
}

// partitionBy separates the gateway by a partition.
func (g *simGateway) partitionBy(p partition) {
	g.partition = p
	g.connectedSince = max(g.connectedSince, p.until+3*second)
}

// reachOnly makes one control process the only one that a gateway reaches, and restarts the gateway in half of the
// cases.
func (g *simGateway) reachOnly(only *simControl, length time.Duration) {
	sim := g.sim
	g.onlyReachable, g.onlyReachableUntil = only, sim.now+length
	g.connectedSince = max(g.connectedSince, g.onlyReachableUntil+3*second)
	if sim.random.IntN(2) == 0 {
		g.crash(100 * millisecond)
	}
}

// updateAllocatorAddress updates the allocator's address from the membership: it is that of the leader, or of the only
// process that the gateway reaches, which names itself.
func (g *simGateway) updateAllocatorAddress(incarnation int) {
	sim := g.sim
	if g.incarnation != incarnation || !g.alive {
		return
	}
	named := sim.leader()
	if sim.now < g.onlyReachableUntil {
		named = g.onlyReachable
	}
	if sim.now >= g.partition.until && !g.paused() && g.allocator != named {
		g.allocator = named
		g.client.AllocatorMoved(g.clock.read())
		g.pump()
	}
	sim.schedule(sim.now+200*millisecond+sim.randomDuration(200*millisecond), func() { g.updateAllocatorAddress(incarnation) })
}

func (g *simGateway) paused() bool { return g.sim.now < g.pausedUntil }

// afterResume schedules an event of a process pause for when the process resumes. Such events run in random order.
func (g *simGateway) afterResume(run func()) {
	g.sim.schedule(g.pausedUntil+g.sim.randomDuration(millisecond), run)
}

// receiveRequest receives a request of a client. A request that arrives during a process pause is read when the
// process resumes.
func (g *simGateway) receiveRequest(name string) {
	if !g.alive || g.snapshot == nil {
		return
	}
	if g.paused() {
		incarnation, pausedAt := g.incarnation, g.pausedAt
		g.afterResume(func() {
			if g.incarnation == incarnation {
				g.decide(name, pausedAt)
			}
		})
		return
	}
	g.decide(name, 0)
}

// decide decides on a request. If the request arrived during a process pause, pausedAt is the clock's time at the
// beginning of the pause, else 0.
func (g *simGateway) decide(name string, pausedAt time.Duration) {
	sim := g.sim
	if !g.alive || g.paused() {
		return
	}
	tenant := g.snapshot.TenantByName(name)
	if tenant == nil {
		return
	}
	now := g.clock.read()
	if sim.bug == bugStaleClock && pausedAt > 0 {
		now = pausedAt
	}
	sim.counts[name].offered++
	g.applyVerdict(tenant, g.client.Take(now, tenant))
	g.pump()
}

// applyVerdict runs, queues or rejects an arriving request according to its verdict.
func (g *simGateway) applyVerdict(tenant *configuration.Tenant, verdict Verdict) {
	sim := g.sim
	switch {
	case verdict.Admit:
		g.runAdmitted(tenant)
	case verdict.Wait:
		now := g.clock.read()
		if g.client.AllocatorTimedOut(now) && g.client.TimeToToken(now, tenant) > sim.maxWait {
			g.client.Cancel(now, tenant)
			sim.recordRejected(tenant.Name, g)
			return
		}
		g.waiting = append(g.waiting, &waitingRequest{tenant, sim.now + sim.maxWait})
		sim.schedule(sim.now+sim.maxWait, g.pump)
	default:
		sim.recordRejected(tenant.Name, g)
	}
}

// runAdmitted runs an admitted request on a server, or returns its token.
func (g *simGateway) runAdmitted(tenant *configuration.Tenant) {
	sim := g.sim
	taken, incarnation := g.clock.read(), g.incarnation
	g.entitlement.spend(g, tenant.Name)
	if !sim.refunds || sim.random.Float64() >= refundShare {
		sim.recordRun(tenant.Name, g)
		if sim.refunds && sim.random.Float64() < retryShare {
			sim.schedule(sim.now+sim.randomDuration(second), func() { g.retry(incarnation, tenant) })
		}
		return
	}
	maxDelay := 2 * millisecond
	if sim.random.IntN(20) == 0 {
		maxDelay = 600 * millisecond // as on a busy machine; a token may have expired by then
	}
	sim.schedule(sim.now+sim.randomDuration(maxDelay), func() { g.returnToken(incarnation, tenant, taken) })
}

// returnToken returns a token; taken is when it was taken, by the gateway's clock.
func (g *simGateway) returnToken(incarnation int, tenant *configuration.Tenant, taken time.Duration) {
	sim := g.sim
	if g.incarnation != incarnation || !g.alive {
		return
	}
	if g.paused() {
		g.afterResume(func() { g.returnToken(incarnation, tenant, taken) })
		return
	}
	now := g.clock.read()
	g.entitlement.recordReturn(now, taken, tenant.Name)
	if sim.bug == bugLateReturn {
		taken = now
	}
	g.client.Return(now, taken, tenant)
}

// retry runs an admitted request on a server once more.
func (g *simGateway) retry(incarnation int, tenant *configuration.Tenant) {
	if g.incarnation != incarnation || !g.alive || g.paused() {
		return
	}
	g.client.Charge(g.clock.read(), tenant)
	g.sim.recordRun(tenant.Name, g)
}

// pump resolves the requests that wait, sends what is due and schedules the next call.
func (g *simGateway) pump() {
	sim := g.sim
	if !g.alive {
		return
	}
	if g.paused() {
		g.afterResume(g.pump)
		return
	}
	g.resolve()
	now := g.clock.read()
	if request, due := g.client.NextRequest(now); due {
		g.entitlement.recordRequest(now, request.Sequence)
		g.send(request)
	}
	if wake := g.clock.simTime(g.client.WakeAt(now)); g.wakeAt != wake {
		g.wakeAt = wake
		incarnation := g.incarnation
		sim.schedule(max(wake, sim.now+millisecond), func() {
			if g.incarnation == incarnation && g.wakeAt == wake {
				g.wakeAt = -1
				g.pump()
			}
		})
	}
}

// resolve asks the client for new verdicts on all requests that wait.
func (g *simGateway) resolve() {
	sim := g.sim
	waits := g.waiting
	g.waiting = nil
	for _, request := range waits {
		now := g.clock.read()
		verdict := g.client.Resolve(now, request.tenant)
		switch {
		case verdict.Admit:
			g.runAdmitted(request.tenant)
		case !verdict.Wait:
			sim.recordRejected(request.tenant.Name, g)
		case sim.now >= request.deadline:
			g.client.Cancel(now, request.tenant)
			sim.recordRejected(request.tenant.Name, g)
		default:
			g.waiting = append(g.waiting, request)
		}
	}
}

// delay returns the time that a message takes between a gateway and a control process, or a negative duration if the
// message is lost. Under a partition a message is lost or arrives when the partition ends.
func (g *simGateway) delay(control *simControl, dir direction) time.Duration {
	sim := g.sim
	if until := g.partitionedUntil(control, dir); sim.now < until {
		if sim.random.IntN(2) == 0 {
			return -1
		}
		return until - sim.now + sim.randomDuration(10*millisecond)
	}
	if sim.random.Float64() < sim.lossRate {
		return -1
	}
	if sim.random.Float64() < sim.slowRate {
		return sim.randomDuration(1500 * millisecond)
	}
	return 300*time.Microsecond + sim.randomDuration(2*millisecond)
}

// partitionedUntil returns the time until which a partition stops messages between the gateway and a control process,
// outbound from the gateway or inbound to it.
func (g *simGateway) partitionedUntil(control *simControl, dir direction) time.Duration {
	if g.sim.now < g.onlyReachableUntil {
		if g.onlyReachable == control {
			return 0
		}
		return g.onlyReachableUntil
	}
	opposite := inbound
	if dir == inbound {
		opposite = outbound
	}
	return max(g.partition.endFor(dir), control.partition.endFor(opposite))
}

// send sends a request to the allocator, if its address is known.
func (g *simGateway) send(request protocol.QuotaRequest) {
	sim := g.sim
	sim.messages++
	sim.demands += len(request.Demands)
	request.Demands = append([]protocol.QuotaDemand(nil), request.Demands...)
	if g.allocator == nil {
		return
	}
	control, incarnation := g.allocator, g.incarnation
	if delay := g.delay(control, outbound); delay >= 0 {
		sim.schedule(sim.now+delay, func() { sim.handle(control, g, incarnation, request) })
	}
}

// handleReply handles a reply to a request of one incarnation of the gateway.
func (g *simGateway) handleReply(incarnation int, reply protocol.QuotaReply) {
	sim := g.sim
	if g.incarnation != incarnation || !g.alive {
		return
	}
	if g.paused() {
		g.afterResume(func() { g.handleReply(incarnation, reply) })
		return
	}
	now := g.clock.read()
	g.entitlement.applyReply(now, &reply)
	if sim.bug == bugLeaseFromReceipt && g.client.inFlight && reply.Sequence == g.client.sequence {
		g.client.sentAt = now
	}
	g.client.HandleReply(now, &reply)
	g.pump()
}

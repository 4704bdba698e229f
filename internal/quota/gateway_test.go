package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// simGateway is a gateway's process and what its carrier does.
type simGateway struct {
	world       *world
	node        string
	clock       steadyClock
	client      *Client
	snapshot    *configuration.Snapshot // nil: none yet
	life        int
	alive       bool
	frozenUntil time.Duration
	frozeAt     time.Duration // as its clock told then
	cut         cut
	alone       *simControl // the only machine that it reaches, until aloneUntil
	aloneUntil  time.Duration
	inTouch     time.Duration // in touch from then on
	address     *simControl   // that it asks
	waits       []*simWait
	wakeAt      time.Duration
	share       float64
	ledger      ledger
}

type simWait struct {
	tenant   *configuration.Tenant
	deadline time.Duration
}

func (w *world) addGateway() *simGateway {
	g := &simGateway{world: w, node: fmt.Sprintf("front-%d", len(w.gateways)), clock: w.newClock()}
	g.share = 0.4 + 1.2*w.random.Float64()
	w.gateways = append(w.gateways, g)
	g.start()
	return g
}

// start begins a life. One that reaches only a machine that is cut off gets no configuration.
func (g *simGateway) start() {
	w := g.world
	g.life++
	g.alive, g.frozenUntil, g.waits, g.wakeAt = true, 0, nil, -1
	g.inTouch = max(g.inTouch, w.now+3*second)
	g.snapshot, g.address = nil, nil
	g.client = NewClient(ClientOptions{
		Process: protocol.Process{Node: g.node, Incarnation: fmt.Sprint(g.life)},
		Random:  rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	})
	g.ledger = newLedger()
	g.takeSnapshot(g.life, w.snapshot)
	life := g.life
	w.at(w.now+100*millisecond+w.spread(300*millisecond), func() { g.learnAddress(life) })
}

func (g *simGateway) takeSnapshot(life int, snapshot *configuration.Snapshot) {
	w := g.world
	if g.life != life || !g.alive {
		return
	}
	if until := max(g.cut.until, g.frozenUntil, g.aloneUntil); w.now < until {
		w.at(until+millisecond, func() { g.takeSnapshot(life, snapshot) })
		return
	}
	if g.snapshot != nil && g.snapshot.Index > snapshot.Index {
		return
	}
	g.snapshot = snapshot
	g.client.Configure(snapshot)
}

func (g *simGateway) kill(down time.Duration) {
	if !g.alive {
		return
	}
	g.alive = false
	g.world.at(g.world.now+down, g.start)
}

func (g *simGateway) freeze(length time.Duration) {
	g.frozeAt = g.clock.read()
	g.frozenUntil = g.world.now + length
	g.inTouch = max(g.inTouch, g.frozenUntil+3*second)
}

func (g *simGateway) cutOff(one cut) {
	g.cut = one
	g.inTouch = max(g.inTouch, one.until+3*second)
}

// join leaves a gateway one machine that it reaches, and restarts it there in half of the cases.
func (g *simGateway) join(only *simControl, length time.Duration) {
	w := g.world
	g.alone, g.aloneUntil = only, w.now+length
	g.inTouch = max(g.inTouch, g.aloneUntil+3*second)
	if w.random.IntN(2) == 0 {
		g.kill(100 * millisecond)
	}
}

// learnAddress follows the list of members: that of the machine that leads, or of the only one in reach, which names itself.
func (g *simGateway) learnAddress(life int) {
	w := g.world
	if g.life != life || !g.alive {
		return
	}
	named := w.leader()
	if w.now < g.aloneUntil {
		named = g.alone
	}
	if w.now >= g.cut.until && !g.still() && g.address != named {
		g.address = named
		g.client.AllocatorMoved(g.clock.read())
		g.pump()
	}
	w.at(w.now+200*millisecond+w.spread(200*millisecond), func() { g.learnAddress(life) })
}

// still tells whether the process stands still.
func (g *simGateway) still() bool { return g.world.now < g.frozenUntil }

// afterThaw runs what comes up while the process stands still, in any order once it goes on.
func (g *simGateway) afterThaw(run func()) {
	g.world.at(g.frozenUntil+g.world.spread(millisecond), run)
}

// request is a client's, at this gateway. One that comes while the process stands still is read as it thaws.
func (g *simGateway) request(name string) {
	if !g.alive || g.snapshot == nil {
		return
	}
	if g.still() {
		life, froze := g.life, g.frozeAt
		g.afterThaw(func() {
			if g.life == life {
				g.arrive(name, froze)
			}
		})
		return
	}
	g.arrive(name, 0)
}

// arrive decides about a request. Froze is what the clock told as the process froze before this request was read.
func (g *simGateway) arrive(name string, froze time.Duration) {
	w := g.world
	if !g.alive || g.still() {
		return
	}
	tenant := g.snapshot.TenantNamed(name)
	if tenant == nil {
		return
	}
	now := g.clock.read()
	if w.plant == plantStaleClock && froze > 0 {
		now = froze
	}
	w.counts[name].offered++
	g.settle(tenant, g.client.Take(now, tenant))
	g.pump()
}

// settle does what a verdict says.
func (g *simGateway) settle(tenant *configuration.Tenant, verdict Verdict) {
	w := g.world
	switch {
	case verdict.Admit:
		g.admitted(tenant)
	case verdict.Wait:
		now := g.clock.read()
		if g.client.AllocatorTimedOut(now) && g.client.TimeToToken(now, tenant) > w.maxWait {
			g.client.Cancel(now, tenant)
			w.refuse(tenant.Name, g)
			return
		}
		g.waits = append(g.waits, &simWait{tenant, w.now + w.maxWait})
		w.at(w.now+w.maxWait, g.pump)
	default:
		w.refuse(tenant.Name, g)
	}
}

// admitted sends a request on, or gives its token back: soon, or after a time that the process stood still.
func (g *simGateway) admitted(tenant *configuration.Tenant) {
	w := g.world
	taken, life := g.clock.read(), g.life
	g.ledger.spend(g, tenant.Name)
	if !w.returns || w.random.Float64() >= returnShare {
		w.run(tenant.Name, g)
		if w.returns && w.random.Float64() < chargeShare {
			w.at(w.now+w.spread(second), func() { g.sendAgain(life, tenant) })
		}
		return
	}
	soon := 2 * millisecond
	if w.random.IntN(20) == 0 {
		soon = 600 * millisecond // on a machine that is busy
	}
	w.at(w.now+w.spread(soon), func() { g.giveBack(life, tenant, taken) })
}

func (g *simGateway) giveBack(life int, tenant *configuration.Tenant, taken time.Duration) {
	w := g.world
	if g.life != life || !g.alive {
		return
	}
	if g.still() {
		g.afterThaw(func() { g.giveBack(life, tenant, taken) })
		return
	}
	now := g.clock.read()
	g.ledger.returned(now, taken, tenant.Name)
	if w.plant == plantLateReturn {
		taken = now
	}
	g.client.Return(now, taken, tenant)
}

// sendAgain has a server run a request once more.
func (g *simGateway) sendAgain(life int, tenant *configuration.Tenant) {
	if g.life != life || !g.alive || g.still() {
		return
	}
	g.client.Charge(g.clock.read(), tenant)
	g.world.run(tenant.Name, g)
}

// pump resolves what waits, sends what is due and sets the next wake-up.
func (g *simGateway) pump() {
	w := g.world
	if !g.alive {
		return
	}
	if g.still() {
		g.afterThaw(g.pump)
		return
	}
	g.resolve()
	now := g.clock.read()
	if request, due := g.client.NextRequest(now); due {
		g.ledger.sent(now, request.Sequence)
		g.send(request)
	}
	if wake := g.clock.when(g.client.WakeAt(now)); g.wakeAt != wake {
		g.wakeAt = wake
		life := g.life
		w.at(max(wake, w.now+millisecond), func() {
			if g.life == life && g.wakeAt == wake {
				g.wakeAt = -1
				g.pump()
			}
		})
	}
}

func (g *simGateway) resolve() {
	w := g.world
	waits := g.waits
	g.waits = nil
	for _, wait := range waits {
		now := g.clock.read()
		verdict := g.client.Resolve(now, wait.tenant)
		switch {
		case verdict.Admit:
			g.admitted(wait.tenant)
		case !verdict.Wait:
			w.refuse(wait.tenant.Name, g)
		case w.now >= wait.deadline:
			g.client.Cancel(now, wait.tenant)
			w.refuse(wait.tenant.Name, g)
		default:
			g.waits = append(g.waits, wait)
		}
	}
}

// delay is how long a message takes between a gateway and a control machine; below 0 it is lost. Where the path is cut it is lost
// or comes when the cut ends.
func (g *simGateway) delay(control *simControl, to cutWay) time.Duration {
	w := g.world
	if until := g.pathCut(control, to); w.now < until {
		if w.random.IntN(2) == 0 {
			return -1
		}
		return until - w.now + w.spread(10*millisecond)
	}
	if w.random.Float64() < w.loss {
		return -1
	}
	if w.random.Float64() < w.slow {
		return w.spread(1500 * millisecond)
	}
	return 300*time.Microsecond + w.spread(2*millisecond)
}

// pathCut tells until when messages don't pass, outward from the gateway or inward to it.
func (g *simGateway) pathCut(control *simControl, to cutWay) time.Duration {
	if g.world.now < g.aloneUntil {
		if g.alone == control {
			return 0
		}
		return g.aloneUntil
	}
	other := inward
	if to == inward {
		other = outward
	}
	return max(g.cut.ends(to), control.cut.ends(other))
}

func (g *simGateway) send(request protocol.QuotaRequest) {
	w := g.world
	w.messages++
	w.sizes += len(request.Demands)
	request.Demands = append([]protocol.QuotaDemand(nil), request.Demands...)
	if g.address == nil {
		return
	}
	control, life := g.address, g.life
	if delay := g.delay(control, outward); delay >= 0 {
		w.at(w.now+delay, func() { w.handle(control, g, life, request) })
	}
}

func (g *simGateway) replied(life int, reply protocol.QuotaReply) {
	w := g.world
	if g.life != life || !g.alive {
		return
	}
	if g.still() {
		g.afterThaw(func() { g.replied(life, reply) })
		return
	}
	now := g.clock.read()
	g.ledger.replied(now, &reply)
	if w.plant == plantFromReceipt && g.client.inFlight && reply.Sequence == g.client.sequence {
		g.client.sentAt = now
	}
	g.client.HandleReply(now, &reply)
	g.pump()
}

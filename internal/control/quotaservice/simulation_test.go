package quotaservice

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
	"sprucelane.example/sprucelane/internal/simulation"
	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

const (
	testWindow       = 5 * time.Second
	testOvershoot    = 0.1
	testSlack        = 20
	defaultSeeds     = 6
	faultsUntil      = 60 * time.Second
	simulationLength = 90 * time.Second
	maxPartition     = 20 * time.Second
)

// injectedBug is a bug that is injected into the harness to verify that the checks find it.
type injectedBug string

// Bugs that can be injected into the harness.
const (
	bugNone       injectedBug = ""
	bugUnproven   injectedBug = "a head grants quota without a proof of its epoch"
	bugEarlyStart injectedBug = "a new head begins before the leader lease of the one before has ended"
	bugUnapplied  injectedBug = "a machine that returns acts as head before it has applied what it missed"
)

// quotaSimulation simulates control processes with the real service, gateways with real clients, and tenants that
// send ten times as many requests as their limits allow.
type quotaSimulation struct {
	*simulation.Simulation
	random           *simulation.Rand
	bug              injectedBug
	chain            *chainModel
	gateways         []*simulatedGateway
	version          *configuration.Version
	tenants          []*configuration.Tenant
	admitted         map[string][]time.Duration
	worstWindowShare float64
	terms            map[uint64]*termSpan
	faultsOver       bool
	faults           int
}

// termSpan is the period from the first to the last answer of an allocator in a term.
type termSpan struct {
	from, to time.Duration
	member   string
}

// simulatedGateway simulates the quota part of a gateway process.
type simulatedGateway struct {
	simulation    *quotaSimulation
	name          string
	incarnation   int
	up            bool
	paused        bool
	client        *quota.Client
	allocator     *simulatedControl
	onlyReachable *simulatedControl // the only control process that the gateway reaches before until
	until         time.Duration
}

// newQuotaSimulation returns a simulation in which all processes and the load have been started.
func newQuotaSimulation(seed uint64, bug injectedBug) *quotaSimulation {
	sim := simulation.New(seed)
	sim.Links.Default = simulation.Link{Delay: 300 * time.Microsecond, Jitter: 3 * time.Millisecond}
	w := &quotaSimulation{
		Simulation: sim,
		random:     sim.Random,
		bug:        bug,
		admitted:   map[string][]time.Duration{},
		terms:      map[uint64]*termSpan{},
	}
	const document = `{"generation":1,"routes":[],"backends":[],"tenants":[
		{"name":"a","api-keys":["k"],"rate-per-s":40,"burst":40},{"name":"b","api-keys":["l"],"rate-per-s":8,"burst":8}]}`
	version, err := configuration.ParseDocument([]byte(document), 1)
	if err != nil {
		panic(err)
	}
	w.version = version
	snapshot := version.Snapshot()
	w.tenants = []*configuration.Tenant{snapshot.TenantByName("a"), snapshot.TenantByName("b")}
	w.chain = newChainModel(w, 3+2*int(seed%2))
	for i := range 3 + int(seed%3) {
		g := &simulatedGateway{simulation: w, name: fmt.Sprintf("gateway-%d", i)}
		w.gateways = append(w.gateways, g)
		g.start()
	}
	return w
}

func (w *quotaSimulation) randomDuration(limit time.Duration) time.Duration {
	return w.random.Between(0, limit)
}

func (w *quotaSimulation) every(period time.Duration, run func()) {
	w.After(period, func() {
		run()
		w.every(period, run)
	})
}

// checkSingleAllocator records that an allocator answers now, and panics if the period of its term overlaps that of
// another term.
func (w *quotaSimulation) checkSingleAllocator(term uint64, name string) {
	now := w.Elapsed()
	if term == 0 {
		return
	}
	span := w.terms[term]
	if span == nil {
		span = &termSpan{now, now, name}
		w.terms[term] = span
	}
	span.to = now
	for otherTerm, otherSpan := range w.terms {
		if otherTerm != term && span.from < otherSpan.to && otherSpan.from < span.to {
			panic(
				fmt.Sprintf(
					"two allocators act: %s from %v to %v, %s from %v to %v",
					span.member,
					span.from,
					span.to,
					otherSpan.member,
					otherSpan.from,
					otherSpan.to,
				),
			)
		}
	}
}

// admit records an admitted request and panics if the tenant's limit is exceeded.
func (w *quotaSimulation) admit(tenant *configuration.Tenant) {
	admissions := append(w.admitted[tenant.Name], w.Elapsed())
	for admissions[0] < w.Elapsed()-testWindow {
		admissions = admissions[1:]
	}
	w.admitted[tenant.Name] = admissions
	rules := quota.Rules{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}
	allowed := rules.MaxInWindow(tenant.RatePerSec, tenant.Burst)
	w.worstWindowShare = max(w.worstWindowShare, float64(len(admissions))/allowed)
	if float64(len(admissions)) > allowed {
		panic(
			fmt.Sprintf(
				"tenant %s was admitted %d requests in a window that allows %.1f, at %v",
				tenant.Name,
				len(admissions),
				allowed,
				w.Elapsed(),
			),
		)
	}
}

func (g *simulatedGateway) start() {
	w := g.simulation
	if g.up {
		return
	}
	g.incarnation++
	g.up, g.paused, g.allocator = true, false, nil
	w.Start(g.name)
	g.client = quota.NewClient(
		quota.ClientOptions{Process: protocol.Process{Node: g.name, Incarnation: fmt.Sprint(g.incarnation)},
			Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))},
	)
	g.followHead()
	g.exchange()
	for _, tenant := range w.tenants {
		g.traffic(tenant)
	}
}

func (g *simulatedGateway) stop() {
	g.up = false
	g.simulation.Stop(g.name)
}

func (g *simulatedGateway) later(delay time.Duration, run func()) {
	g.simulation.AfterOn(g.name, delay, run)
}

// followHead uses the head in the member list as the allocator or, during a partition, the only reachable machine,
// which reports itself as the head.
func (g *simulatedGateway) followHead() {
	w := g.simulation
	head := w.chain.chain[0]
	if w.Elapsed() < g.until {
		head = g.onlyReachable
	}
	if head != g.allocator {
		g.allocator = head
		g.client.AllocatorMoved(w.Elapsed())
	}
	g.later(200*time.Millisecond+w.randomDuration(200*time.Millisecond), g.followHead)
}

// traffic sends this gateway's share of a tenant's requests. Over all gateways they are ten times the tenant's limit.
func (g *simulatedGateway) traffic(tenant *configuration.Tenant) {
	w := g.simulation
	rate := 10 * tenant.RatePerSec / float64(len(w.gateways))
	g.later(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		now := w.Elapsed()
		switch verdict := g.client.Take(now, tenant); {
		case verdict.Admit:
			w.admit(tenant)
		case verdict.Wait:
			g.later(40*time.Millisecond, func() { g.resolve(tenant) })
		}
		g.traffic(tenant)
	})
}

func (g *simulatedGateway) resolve(tenant *configuration.Tenant) {
	now := g.simulation.Elapsed()
	if verdict := g.client.Resolve(now, tenant); verdict.Admit {
		g.simulation.admit(tenant)
	} else if verdict.Wait {
		g.client.Cancel(now, tenant)
	}
}

func (g *simulatedGateway) exchange() {
	w := g.simulation
	if request, due := g.client.NextRequest(w.Elapsed()); due {
		m := g.allocator
		w.Send(g.name, m.name, nil, func() {
			reply := m.handle(request)
			w.Send(m.name, g.name, nil, func() { g.client.HandleReply(w.Elapsed(), &reply) })
		})
	}
	g.later(10*time.Millisecond, g.exchange)
}

// partitionPair partitions two machines from each other for a time: in both directions with direction 0, with 1 only
// from other to one, with 2 only from one to other.
func (w *quotaSimulation) partitionPair(one, other string, direction int, length time.Duration) {
	for i, pair := range [][2]string{{one, other}, {other, one}} {
		if direction != i+1 {
			w.Links.Partition(pair[0], pair[1])
			w.After(length, func() { w.Links.Heal(pair[0], pair[1]) })
		}
	}
}

// injectFault injects a random fault. Faults of a control process mostly concern the head.
func (w *quotaSimulation) injectFault() {
	if w.faultsOver {
		return
	}
	w.faults++
	m := w.chain.chain[0]
	if w.random.Chance(0.3) {
		m = w.chain.members[w.random.IntN(len(w.chain.members))]
	}
	g := w.gateways[w.random.IntN(len(w.gateways))]
	switch w.random.IntN(10) {
	case 0, 1:
		w.partition(m, g)
	case 2:
		m.pause(w.randomDuration(maxPartition))
	case 3:
		m.stop()
		w.After(100*time.Millisecond+w.randomDuration(3*time.Second), m.start)
	case 4:
		m.handOver()
	case 5:
		w.chain.depose()
	case 6:
		for _, member := range w.chain.members {
			member.stop()
			w.After(100*time.Millisecond+w.randomDuration(time.Second), member.start)
		}
	case 7:
		g.stop()
		w.After(200*time.Millisecond+w.randomDuration(time.Second), g.start)
	case 8:
		w.Pause(g.name)
		w.After(w.randomDuration(maxPartition), func() { w.Resume(g.name) })
	case 9:
		for _, member := range w.chain.members {
			w.partitionPair(g.name, member.name, w.random.IntN(3), w.randomDuration(maxPartition))
		}
	}
}

// partition partitions a control process from the other control processes, together with a gateway that then reaches
// only this one.
func (w *quotaSimulation) partition(m *simulatedControl, g *simulatedGateway) {
	length, direction := time.Second+w.randomDuration(maxPartition-time.Second), w.random.IntN(3)
	g.onlyReachable, g.until = m, w.Elapsed()+length
	for _, member := range w.chain.members {
		if member != m {
			w.partitionPair(m.name, member.name, direction, length)
			w.partitionPair(g.name, member.name, 0, length)
		}
	}
}

// simulate runs a simulation with all kinds of faults. It returns the violation, or an empty string if there is none.
func simulate(seed uint64, bug injectedBug) (w *quotaSimulation, violation string) {
	defer func() {
		if failure := recover(); failure != nil {
			violation = fmt.Sprint(failure)
		}
	}()
	w = newQuotaSimulation(seed, bug)
	w.every(1100*time.Millisecond, w.injectFault)
	w.Run(faultsUntil)
	w.faultsOver = true
	w.Run(simulationLength - faultsUntil)
	for _, span := range w.terms {
		if span.to > simulationLength-time.Second {
			return w, ""
		}
	}
	return w, "no allocator answered in the last second of the simulation"
}

// TestRandomSimulations checks that at most one allocator acts at a time and that no tenant exceeds its limit, in
// simulations with fixed seeds. SEEDS=N runs N simulations, FIRST=S begins at seed S.
func TestRandomSimulations(t *testing.T) {
	first, count := seeds.Range(1, defaultSeeds)
	var mutex sync.Mutex
	var faults, terms int
	worst := 0.0
	offsets := make(chan uint64)
	var wait sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		wait.Go(func() {
			for offset := range offsets {
				w, violation := simulate(first+offset, bugNone)
				if violation != "" {
					t.Errorf("replay with FIRST=%d SEEDS=1: %s", first+offset, violation)
					continue
				}
				mutex.Lock()
				faults, terms, worst = faults+w.faults, terms+len(w.terms), max(worst, w.worstWindowShare)
				mutex.Unlock()
			}
		})
	}
	for offset := range count {
		offsets <- offset
	}
	close(offsets)
	wait.Wait()
	t.Logf("%d simulations, %d faults, %d terms, worst window %.3f of the bound", count, faults, terms, worst)
}

// TestFindsInjectedBugs checks that the simulations find each of the injected bugs.
func TestFindsInjectedBugs(t *testing.T) {
	const maxSeeds = 60
	// The first seed to try for each bug; lower seeds are known not to find it.
	firstSeeds := map[injectedBug]uint64{bugUnproven: 1, bugEarlyStart: 45, bugUnapplied: 1}
	for bug, first := range firstSeeds {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < first+maxSeeds; seed++ {
				if _, violation := simulate(seed, bug); strings.Contains(violation, "two allocators act") {
					t.Logf("found with seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not found with %d seeds", maxSeeds)
		})
	}
}

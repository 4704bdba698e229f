package quotaservice

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
	"sprucelane.example/sprucelane/internal/simulation"
)

const (
	testWindow    = 5 * time.Second
	testOvershoot = 0.1
	testSlack     = 20
	plainWorlds   = 6
	troubledUntil = 60 * time.Second
	worldLength   = 90 * time.Second
	longestCut    = 20 * time.Second
)

// plant is a bug of the harness that the checks must find.
type plant string

// Bugs that the harness can plant.
const (
	plantNone       plant = ""
	plantUnproven   plant = "a head lends without a proof of its epoch"
	plantEarlyStart plant = "a new head begins before the time of the one before has passed"
	plantUnapplied  plant = "a machine that returns is the head before it has applied what it missed"
)

// world is control processes with the real service, gateways with real clients, and tenants at ten times their limits.
type world struct {
	*simulation.Simulation
	random   *simulation.Rand
	plant    plant
	core     *core
	gateways []*gateway
	version  *configuration.Version
	tenants  []*configuration.Tenant
	ran      map[string][]time.Duration
	worst    float64
	terms    map[uint64]*span
	calm     bool
	troubles int
}

// span is the time over which an allocator answered.
type span struct {
	from, to time.Duration
	member   string
}

// gateway is a gateway's process as far as quota goes.
type gateway struct {
	world  *world
	name   string
	life   int
	up     bool
	frozen bool
	client *quota.Client
	asks   *member
	only   *member // the only one that it reaches, until onlyUntil
	until  time.Duration
}

func newWorld(seed uint64, bug plant) *world {
	sim := simulation.New(seed)
	sim.Links.Default = simulation.Link{Delay: 300 * time.Microsecond, Jitter: 3 * time.Millisecond}
	w := &world{Simulation: sim, random: sim.Random, plant: bug, ran: map[string][]time.Duration{}, terms: map[uint64]*span{}}
	const document = `{"generation":1,"routes":[],"backends":[],"tenants":[
		{"name":"a","api-keys":["k"],"rate-per-s":40,"burst":40},{"name":"b","api-keys":["l"],"rate-per-s":8,"burst":8}]}`
	version, err := configuration.ParseDocument([]byte(document), 1)
	if err != nil {
		panic(err)
	}
	w.version = version
	snapshot := version.Snapshot()
	w.tenants = []*configuration.Tenant{snapshot.TenantByName("a"), snapshot.TenantByName("b")}
	w.core = newCore(w, 3+2*int(seed%2))
	for i := range 3 + int(seed%3) {
		g := &gateway{world: w, name: fmt.Sprintf("gateway-%d", i)}
		w.gateways = append(w.gateways, g)
		g.start()
	}
	return w
}

func (w *world) span(most time.Duration) time.Duration { return w.random.Between(0, most) }

func (w *world) every(period time.Duration, run func()) {
	w.After(period, func() {
		run()
		w.every(period, run)
	})
}

// answered takes in that an allocator answered now: no two act at the same time.
func (w *world) answered(term uint64, name string) {
	now := w.Elapsed()
	if term == 0 {
		return
	}
	acts := w.terms[term]
	if acts == nil {
		acts = &span{now, now, name}
		w.terms[term] = acts
	}
	acts.to = now
	for other, one := range w.terms {
		if other != term && acts.from < one.to && one.from < acts.to {
			panic(fmt.Sprintf("two allocators act: %s from %v to %v, %s from %v to %v", acts.member, acts.from, acts.to, one.member, one.from, one.to))
		}
	}
}

// run counts a request and checks the rule.
func (w *world) run(tenant *configuration.Tenant) {
	ran := append(w.ran[tenant.Name], w.Elapsed())
	for ran[0] < w.Elapsed()-testWindow {
		ran = ran[1:]
	}
	w.ran[tenant.Name] = ran
	rules := quota.Rules{Window: testWindow, Overshoot: testOvershoot, Slack: testSlack}
	most := rules.MaxInWindow(tenant.RatePerSec, tenant.Burst)
	w.worst = max(w.worst, float64(len(ran))/most)
	if float64(len(ran)) > most {
		panic(fmt.Sprintf("tenant %s ran %d in a window that allows %.1f, at %v", tenant.Name, len(ran), most, w.Elapsed()))
	}
}

func (g *gateway) start() {
	w := g.world
	if g.up {
		return
	}
	g.life++
	g.up, g.frozen, g.asks = true, false, nil
	w.Start(g.name)
	g.client = quota.NewClient(quota.ClientOptions{Process: protocol.Process{Node: g.name, Incarnation: fmt.Sprint(g.life)},
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))})
	g.follow()
	g.pump()
	for _, tenant := range w.tenants {
		g.traffic(tenant)
	}
}

func (g *gateway) stop() {
	g.up = false
	g.world.Stop(g.name)
}

func (g *gateway) later(delay time.Duration, run func()) { g.world.AfterOn(g.name, delay, run) }

// follow turns to the head that the list of processes names, or to the only machine in reach, which names itself.
func (g *gateway) follow() {
	w := g.world
	named := w.core.chain[0]
	if w.Elapsed() < g.until {
		named = g.only
	}
	if named != g.asks {
		g.asks = named
		g.client.AllocatorMoved(w.Elapsed())
	}
	g.later(200*time.Millisecond+w.span(200*time.Millisecond), g.follow)
}

// traffic has clients send ten times a tenant's limit, in all.
func (g *gateway) traffic(tenant *configuration.Tenant) {
	w := g.world
	rate := 10 * tenant.RatePerSec / float64(len(w.gateways))
	g.later(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		now := w.Elapsed()
		switch verdict := g.client.Take(now, tenant); {
		case verdict.Admit:
			w.run(tenant)
		case verdict.Wait:
			g.later(40*time.Millisecond, func() { g.resolve(tenant) })
		}
		g.traffic(tenant)
	})
}

func (g *gateway) resolve(tenant *configuration.Tenant) {
	now := g.world.Elapsed()
	if verdict := g.client.Resolve(now, tenant); verdict.Admit {
		g.world.run(tenant)
	} else if verdict.Wait {
		g.client.Cancel(now, tenant)
	}
}

func (g *gateway) pump() {
	w := g.world
	if request, due := g.client.NextRequest(w.Elapsed()); due {
		m := g.asks
		w.Send(g.name, m.name, nil, func() {
			reply := m.handle(request)
			w.Send(m.name, g.name, nil, func() { g.client.HandleReply(w.Elapsed(), &reply) })
		})
	}
	g.later(10*time.Millisecond, g.pump)
}

// cut cuts two machines, both ways or one way, for a time.
func (w *world) cut(one, other string, way int, length time.Duration) {
	for i, pair := range [][2]string{{one, other}, {other, one}} {
		if way != i+1 {
			w.Links.Partition(pair[0], pair[1])
			w.After(length, func() { w.Links.Heal(pair[0], pair[1]) })
		}
	}
}

// trouble brings one about, mostly to the head.
func (w *world) trouble() {
	if w.calm {
		return
	}
	w.troubles++
	m := w.core.chain[0]
	if w.random.Chance(0.3) {
		m = w.core.members[w.random.IntN(len(w.core.members))]
	}
	g := w.gateways[w.random.IntN(len(w.gateways))]
	switch w.random.IntN(10) {
	case 0, 1:
		w.isolate(m, g)
	case 2:
		m.freeze(w.span(longestCut))
	case 3:
		m.stop()
		w.After(100*time.Millisecond+w.span(3*time.Second), m.start)
	case 4:
		m.handOver()
	case 5:
		w.core.depose()
	case 6:
		for _, one := range w.core.members {
			one.stop()
			w.After(100*time.Millisecond+w.span(time.Second), one.start)
		}
	case 7:
		g.stop()
		w.After(200*time.Millisecond+w.span(time.Second), g.start)
	case 8:
		w.Pause(g.name)
		w.After(w.span(longestCut), func() { w.Resume(g.name) })
	case 9:
		for _, one := range w.core.members {
			w.cut(g.name, one.name, w.random.IntN(3), w.span(longestCut))
		}
	}
}

// isolate cuts a control process off from the others, with a gateway that reaches only it.
func (w *world) isolate(m *member, g *gateway) {
	length, way := time.Second+w.span(longestCut-time.Second), w.random.IntN(3)
	g.only, g.until = m, w.Elapsed()+length
	for _, one := range w.core.members {
		if one != m {
			w.cut(m.name, one.name, way, length)
			w.cut(g.name, one.name, 0, length)
		}
	}
}

// playWorld plays a world with all troubles and tells what broke.
func playWorld(seed uint64, bug plant) (w *world, broken string) {
	defer func() {
		if failure := recover(); failure != nil {
			broken = fmt.Sprint(failure)
		}
	}()
	w = newWorld(seed, bug)
	w.every(1100*time.Millisecond, w.trouble)
	w.Run(troubledUntil)
	w.calm = true
	w.Run(worldLength - troubledUntil)
	for _, one := range w.terms {
		if one.to > worldLength-time.Second {
			return w, ""
		}
	}
	return w, "nobody lends in the end"
}

func wanted(name string, usual int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return usual
}

// TestRandomWorlds plays worlds with fixed seeds; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomWorlds(t *testing.T) {
	first, count := wanted("FIRST", 1), wanted("SEEDS", plainWorlds)
	var mutex sync.Mutex
	var troubles, terms int
	worst := 0.0
	numbers := make(chan int)
	var wait sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		wait.Go(func() {
			for number := range numbers {
				w, broken := playWorld(uint64(first+number), plantNone)
				if broken != "" {
					t.Errorf("replay with FIRST=%d SEEDS=1: %s", first+number, broken)
					continue
				}
				mutex.Lock()
				troubles, terms, worst = troubles+w.troubles, terms+len(w.terms), max(worst, w.worst)
				mutex.Unlock()
			}
		})
	}
	for number := range count {
		numbers <- number
	}
	close(numbers)
	wait.Wait()
	t.Logf("%d worlds, %d troubles, %d terms, worst window %.3f of the bound", count, troubles, terms, worst)
}

// TestPlantedBugs shows that the worlds find each bug.
func TestPlantedBugs(t *testing.T) {
	const mostWorlds = 60
	firstSeeds := map[plant]uint64{plantUnproven: 1, plantEarlyStart: 45, plantUnapplied: 1} // saves the worlds that are known not to find it
	for bug, first := range firstSeeds {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < first+mostWorlds; seed++ {
				if _, broken := playWorld(seed, bug); strings.Contains(broken, "two allocators act") {
					t.Logf("found in world %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("not found in %d worlds", mostWorlds)
		})
	}
}

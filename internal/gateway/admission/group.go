package admission

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	outputWeight     = 10   // a token put out costs as much as so many read
	sizeClasses      = 32   // powers of two of a request's cost
	trafficDecay     = 0.75 // of what was offered, each interval
	minTraffic       = 1.0  // faded requests of a tenant priority that count as traffic
	returnerBelow    = 0.97 // of the longest time left that was seen: the client has come before
	maxReturnerShare = 0.5  // share of requests that may look returned and still be believed
	remainingDecay   = 0.98 // of the longest time left, each interval
	returnerDecay    = 0.98 // of the share of requests that look returned, each request
	returnerWeight   = 1 - returnerDecay
)

// group is a route with its counts and its cut.
type group struct {
	name     string
	rank     int // of the route, 0 is the most urgent
	target   time.Duration
	backends []string
	priority float64 // v, all groups' sum to 1

	window   [windowSlots]slot
	current  int
	requests float64 // q, a second, smoothed
	latency  float64 // r, seconds a second, smoothed
	score    float64 // f, 0: none

	traffic       []float64 // offered by tenant priority, faded
	shed          []float64 // share that its cuts take, by tenant priority
	effectiveShed []float64 // share that is refused: no less than of more urgent requests at the same servers
	actions       int       // cuts that it took since the press began
	rejections    uint64

	shedCredit       [][sizeClasses]float64 // share of a refusal that is due, by tenant priority and size
	longestRemaining time.Duration          // time left of a request that comes for the first time
	returnerShare    float64                // share that looks returned
}

func (g *group) configure(route *configuration.Route, classes int) {
	g.rank, g.target = route.Priority, route.TargetLatency()
	g.backends = slices.Clone(route.Backends())
	if len(g.shed) != classes {
		g.traffic, g.shed, g.effectiveShed = make([]float64, classes), make([]float64, classes), make([]float64, classes)
		g.shedCredit = nil
	}
}

func (g *group) slot() *slot { return &g.window[g.current] }

func (g *group) countOffered(class int) { g.traffic[class]++ }

// draw tells whether this request is one of the share that is refused: each size and tenant priority has its own account, so
// that none gets more than its share, by chance or otherwise.
func (g *group) drawShed(class int, size Request, share float64, random *rand.Rand) bool {
	if g.shedCredit == nil {
		g.shedCredit = make([][sizeClasses]float64, len(g.shed))
		for i := range g.shedCredit {
			for j := range g.shedCredit[i] {
				g.shedCredit[i][j] = random.Float64()
			}
		}
	}
	cost := max(0, size.PromptTokens) + outputWeight*max(0, size.OutputTokens)
	due := &g.shedCredit[class][min(bits.Len(uint(cost)), sizeClasses-1)]
	*due += share
	if *due < 1 {
		return false
	}
	*due--
	return true
}

// returning tells whether a request has less time left than those that come for the first time: its client was refused
// before. Where most look so, deadlines differ for other reasons, and none is believed.
func (g *group) isReturning(remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	g.longestRemaining = max(g.longestRemaining, remaining)
	came := remaining < time.Duration(returnerBelow*float64(g.longestRemaining))
	g.returnerShare *= returnerDecay
	if came {
		g.returnerShare += returnerWeight
	}
	return came && g.returnerShare < maxReturnerShare
}

// endInterval takes an interval's counts into the smoothed ones and opens the next slot.
func (g *group) endInterval() {
	ended := g.slot()
	g.requests += (float64(ended.sent) - g.requests) / smoothingOver
	g.latency += (ended.latency - g.latency) / smoothingOver
	g.current = (g.current + 1) % windowSlots
	*g.slot() = slot{}
	for class := range g.traffic {
		g.traffic[class] *= trafficDecay
	}
	g.longestRemaining = time.Duration(remainingDecay * float64(g.longestRemaining))
}

// forget drops all counts: the gateway stood still.
func (g *group) reset() {
	g.window, g.current = [windowSlots]slot{}, 0
	g.requests, g.latency, g.score = 0, 0, 0
	clear(g.traffic)
}

// sharesServers tells whether two groups send to a service in common.
func (g *group) sharesServers(other *group) bool {
	for _, backend := range g.backends {
		if slices.Contains(other.backends, backend) {
			return true
		}
	}
	return false
}

// classOf gives a tenant's place among the priorities in use.
func (a *Admission) priorityClass(tenant *configuration.Tenant) int {
	if tenant == nil {
		return 0
	}
	class := sort.SearchInts(a.priorities, tenant.Priority)
	return min(class, len(a.priorities)-1)
}

// tenantPriorities lists the priorities in use, the most urgent first; that of requests without a tenant among them.
func tenantPriorities(snapshot *configuration.Snapshot) []int {
	var list []int
	for i := range snapshot.Tenants {
		list = append(list, snapshot.Tenants[i].Priority)
	}
	if len(list) == 0 {
		list = append(list, 0)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

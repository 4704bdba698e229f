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
	outputWeight   = 10   // a token put out costs as much as so many read
	sizeClasses    = 32   // powers of two of a request's cost
	trafficFades   = 0.75 // of what was offered, each interval
	leastTraffic   = 1.0  // faded requests of a tenant priority that count as traffic
	returnedBelow  = 0.97 // of the longest time left that was seen: the client has come before
	returnsMost    = 0.5  // share of requests that may look returned and still be believed
	longestFades   = 0.98 // of the longest time left, each interval
	returnsFades   = 0.98 // of the share of requests that look returned, each request
	returnsPerSeen = 1 - returnsFades
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

	traffic   []float64 // offered by tenant priority, faded
	refused   []float64 // share that its cuts take, by tenant priority
	effective []float64 // share that is refused: no less than of more urgent requests at the same servers
	round     int       // cuts that it took since the press began
	refusals  uint64

	due      [][sizeClasses]float64 // share of a refusal that is due, by tenant priority and size
	longest  time.Duration          // time left of a request that comes for the first time
	returned float64                // share that looks returned
}

func (g *group) configure(route *configuration.Route, classes int) {
	g.rank, g.target = route.Priority, route.TargetLatency()
	g.backends = slices.Clone(route.Backends())
	if len(g.refused) != classes {
		g.traffic, g.refused, g.effective = make([]float64, classes), make([]float64, classes), make([]float64, classes)
		g.due = nil
	}
}

func (g *group) slot() *slot { return &g.window[g.current] }

func (g *group) offered(class int) { g.traffic[class]++ }

// draw tells whether this request is one of the share that is refused: each size and tenant priority has its own account, so
// that none gets more than its share, by chance or otherwise.
func (g *group) draw(class int, size Request, share float64, random *rand.Rand) bool {
	if g.due == nil {
		g.due = make([][sizeClasses]float64, len(g.refused))
		for i := range g.due {
			for j := range g.due[i] {
				g.due[i][j] = random.Float64()
			}
		}
	}
	cost := max(0, size.PromptTokens) + outputWeight*max(0, size.OutputTokens)
	due := &g.due[class][min(bits.Len(uint(cost)), sizeClasses-1)]
	*due += share
	if *due < 1 {
		return false
	}
	*due--
	return true
}

// returning tells whether a request has less time left than those that come for the first time: its client was refused
// before. Where most look so, deadlines differ for other reasons, and none is believed.
func (g *group) returning(remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	g.longest = max(g.longest, remaining)
	came := remaining < time.Duration(returnedBelow*float64(g.longest))
	g.returned *= returnsFades
	if came {
		g.returned += returnsPerSeen
	}
	return came && g.returned < returnsMost
}

// endInterval takes an interval's counts into the smoothed ones and opens the next slot.
func (g *group) endInterval() {
	ended := g.slot()
	g.requests += (float64(ended.sent) - g.requests) / smoothingOver
	g.latency += (ended.latency - g.latency) / smoothingOver
	g.current = (g.current + 1) % windowSlots
	*g.slot() = slot{}
	for class := range g.traffic {
		g.traffic[class] *= trafficFades
	}
	g.longest = time.Duration(longestFades * float64(g.longest))
}

// forget drops all counts: the gateway stood still.
func (g *group) forget() {
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
func (a *Admission) classOf(tenant *configuration.Tenant) int {
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

package admission

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	outputWeight        = 10   // cost of a generated token, in prompt tokens
	sizeClasses         = 32   // of requests, by powers of two of their cost
	trafficDecay        = 0.75 // factor applied to the counts of offered requests each interval
	minTraffic          = 1.0  // decayed offered requests below which a tenant priority counts as having no traffic
	retryRemainingShare = 0.97 // share of the longest remaining time: a request with less is taken for a retry
	maxRetryShare       = 0.5  // share of requests: if as many look like retries, none is taken for one
	remainingDecay      = 0.98 // factor applied to the longest remaining time each interval
	retryShareDecay     = 0.98 // factor applied to the share of retries with each request
	retryShareWeight    = 1 - retryShareDecay
)

// group holds the counts of a route's requests and the shares of them that are shed. The Admission's mutex
// guards it. The letters v, q, r and f are the variables of the RUDA paper.
type group struct {
	name     string
	rank     int // the route's priority; 0 is the most urgent
	target   time.Duration
	backends []string
	priority float64 // v; the sum over all groups is 1

	window   [windowSlots]slot
	current  int
	requests float64 // q, per second, smoothed
	latency  float64 // r, seconds per second, smoothed
	score    float64 // f; 0: none

	traffic       []float64 // offered requests by tenant priority, decayed
	shed          []float64 // share that the group's steps shed, by tenant priority
	effectiveShed []float64 // share shed of requests that aren't retries, by tenant priority; see updateEffective
	steps         int       // number of the group's steps in force
	rejections    uint64

	shedCredit       [][sizeClasses]float64 // accumulated fraction of a rejection, by tenant priority and size class
	longestRemaining time.Duration          // of recent requests, decaying; taken for that of a first attempt by a client
	retryShare       float64                // share of requests that look like retries, moving average
}

// configure applies a route's configuration. classes is the number of tenant priorities.
func (g *group) configure(route *configuration.Route, classes int) {
	g.rank, g.target = route.Priority, route.TargetLatency()
	g.backends = slices.Clone(route.Backends())
	if len(g.shed) != classes {
		g.traffic = make([]float64, classes)
		g.shed, g.effectiveShed = make([]float64, classes), make([]float64, classes)
		g.shedCredit = nil
	}
}

// slot returns the current interval's counts.
func (g *group) slot() *slot { return &g.window[g.current] }

// countOffered counts a request of a priority class, whether it is admitted or shed.
func (g *group) countOffered(class int) { g.traffic[class]++ }

// shouldShed reports whether to shed a request of a tenant priority class, of which share is to be shed. Each tenant
// priority and size class has its own credit, which grows by share with each request and decreases by 1 with each
// rejection. So exactly the share of each size class is shed, not only on average.
func (g *group) shouldShed(class int, size Request, share float64, random *rand.Rand) bool {
	if g.shedCredit == nil {
		g.shedCredit = make([][sizeClasses]float64, len(g.shed))
		for i := range g.shedCredit {
			for j := range g.shedCredit[i] {
				g.shedCredit[i][j] = random.Float64()
			}
		}
	}
	cost := max(0, size.PromptTokens) + outputWeight*max(0, size.OutputTokens)
	credit := &g.shedCredit[class][min(bits.Len(uint(cost)), sizeClasses-1)]
	*credit += share
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// isRetry reports whether a request seems to be a client's retry after a rejection: it has less time left than
// the first attempts of other clients. If half of the requests look like retries, their deadlines differ for
// other reasons, and none is taken for a retry.
func (g *group) isRetry(remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	g.longestRemaining = max(g.longestRemaining, remaining)
	looksLikeRetry := remaining < time.Duration(retryRemainingShare*float64(g.longestRemaining))
	g.retryShare *= retryShareDecay
	if looksLikeRetry {
		g.retryShare += retryShareWeight
	}
	return looksLikeRetry && g.retryShare < maxRetryShare
}

// endInterval adds the counts of the interval that ends to the smoothed ones and starts the next slot.
func (g *group) endInterval() {
	ended := g.slot()
	g.requests += (float64(ended.sent) - g.requests) / smoothingIntervals
	g.latency += (ended.latency - g.latency) / smoothingIntervals
	g.current = (g.current + 1) % windowSlots
	*g.slot() = slot{}
	for class := range g.traffic {
		g.traffic[class] *= trafficDecay
	}
	g.longestRemaining = time.Duration(remainingDecay * float64(g.longestRemaining))
}

// reset clears the window, the smoothed counts, the score and the counts of offered requests.
func (g *group) reset() {
	g.window, g.current = [windowSlots]slot{}, 0
	g.requests, g.latency, g.score = 0, 0, 0
	clear(g.traffic)
}

// sharesServers reports whether two groups have a backend in common.
func (g *group) sharesServers(other *group) bool {
	for _, backend := range g.backends {
		if slices.Contains(other.backends, backend) {
			return true
		}
	}
	return false
}

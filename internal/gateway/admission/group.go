package admission

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	outputWeight     = 10   // cost of a generated token, in prompt tokens
	sizeClasses      = 32   // powers of two of a request's cost
	trafficDecay     = 0.75 // factor on the offered requests each interval
	minTraffic       = 1.0  // decayed requests of a tenant priority that count as traffic
	returnerBelow    = 0.97 // of the longest remaining time: a client with less is taken to have been rejected before
	maxReturnerShare = 0.5  // of requests; if more look like returners, none is believed to be one
	remainingDecay   = 0.98 // factor on the longest remaining time each interval
	returnerDecay    = 0.98 // factor on the share of returners each request
	returnerWeight   = 1 - returnerDecay
)

// group is a route's requests: their counts and what is shed of them. The Admission's mutex guards it.
// Letters are those of the RUDA paper.
type group struct {
	name     string
	rank     int // the route's priority; 0 is the most urgent
	target   time.Duration
	backends []string
	priority float64 // v; all groups' sum to 1

	window   [windowSlots]slot
	current  int
	requests float64 // q, per second, smoothed
	latency  float64 // r, seconds per second, smoothed
	score    float64 // f; 0: none

	traffic       []float64 // offered requests by tenant priority, decayed
	shed          []float64 // share that its steps shed, by tenant priority
	effectiveShed []float64 // share that is shed in fact; see updateEffective
	actions       int       // steps in force
	rejections    uint64

	shedCredit       [][sizeClasses]float64 // part of a rejection that is due, by tenant priority and size class
	longestRemaining time.Duration          // remaining time of a request that comes for the first time
	returnerShare    float64                // of requests that look like returners
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

// countOffered counts a request of a priority class, admitted or not.
func (g *group) countOffered(class int) { g.traffic[class]++ }

// drawShed reports whether a request is among the share that is shed. Each size class and tenant priority has
// its own credit, which grows by the share with each request and is worth one rejection: so each class is
// shed exactly its share, not just on average.
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
	credit := &g.shedCredit[class][min(bits.Len(uint(cost)), sizeClasses-1)]
	*credit += share
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// isReturning reports whether a request's client seems to have been rejected before: it has less time left
// than those that come for the first time. If most requests look so, their deadlines differ for other
// reasons.
func (g *group) isReturning(remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	g.longestRemaining = max(g.longestRemaining, remaining)
	returning := remaining < time.Duration(returnerBelow*float64(g.longestRemaining))
	g.returnerShare *= returnerDecay
	if returning {
		g.returnerShare += returnerWeight
	}
	return returning && g.returnerShare < maxReturnerShare
}

// endInterval adds an interval's counts to the smoothed ones and starts the next slot.
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

// reset drops all counts.
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

// Package outcomes counts how clients' requests end, by route and outcome, so that operators can see where
// responses are late, rejected or missing, and why. docs/operate/requests.md describes each outcome and what to do.
package outcomes

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/serverload"
)

// Outcome is how a request ended. Its values are label values of a metric and keys of log lines.
type Outcome string

// Outcomes of requests. Each request counts once, by its final response; a late response by the cause of the
// delay. Truncated is counted in addition, because the beginning of the response has been counted already.
const (
	InTime           Outcome = "in_time"
	LateRetried      Outcome = "late_retried"     // there were earlier attempts
	LateQueued       Outcome = "late_queued"      // its server had a request in every slot, or others waiting
	LatePrefill      Outcome = "late_reading"     // its server took long to read the prompt
	LateServer       Outcome = "late_server"      // its server was slow, for no known reason
	RejectedOverload Outcome = "refused_overload" // load shedding
	RejectedQuota    Outcome = "refused_quota"    // its tenant exceeds its rate limit
	Unready          Outcome = "unready"          // 503 before it was read: gateway not ready, or no memory for it
	NoServer         Outcome = "no_server"        // no server accepted it, and none ran it
	ServerFailed     Outcome = "server_failed"    // a server responded that it failed
	Lost             Outcome = "lost"             // a server may have run it, and no response arrived
	Truncated        Outcome = "cut"              // its stream ended early and wasn't resumed
	ClientLeft       Outcome = "client_left"      // its client closed the connection before the response
)

// Attempt describes the attempt that yielded a request's response.
type Attempt struct {
	Latency         time.Duration // from the request's arrival to the first event, or to the response
	Target          time.Duration // latency target of the route; 0: none
	EarlierAttempts int           // number of attempts before this one
	PrefillTokens   int           // prompt tokens that the server had to read, by the gateway's estimate
	InFlight        int           // requests at the server by its reports, when it was selected
	Queued          int           // requests that waited at the server when it responded
	Slots           int           // of the server; 0: it reports no load
}

// Classify returns the outcome of a request that got a response from a server.
func Classify(a Attempt) Outcome {
	if a.Target <= 0 || a.Latency <= a.Target {
		return InTime
	}
	switch {
	case a.EarlierAttempts > 0:
		return LateRetried
	case 2*time.Duration(a.PrefillTokens)*time.Millisecond/serverload.PrefillTokensPerMs >= a.Latency:
		return LatePrefill
	case a.Slots > 0 && (a.InFlight >= a.Slots || a.Queued > 0):
		return LateQueued
	}
	return LateServer
}

// key identifies a counter.
type key struct {
	Route   string
	Outcome Outcome
}

// Counts are totals since the start. They are safe for concurrent use.
type Counts struct {
	mu         sync.Mutex // guards the fields below
	totals     map[key]uint64
	reported   map[key]uint64 // totals at the last call of Delta
	latencies  map[string]*Latencies
	batchCalls map[BatchCall]uint64
}

// LatencyBounds are the upper bounds, in seconds, of the buckets of Latencies.
var LatencyBounds = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2.5, 5, 10}

// Latencies is a histogram of the latencies of a route's requests that got a response.
type Latencies struct {
	Buckets [12]uint64 // by LatencyBounds; the last one counts the latencies above all bounds
	Sum     float64    // seconds
}

// BatchCall is the key by which calls of the batch interface are counted.
type BatchCall struct {
	Operation string
	Status    int // HTTP status of the response
}

// maxKeys bounds the number of keys, because routes are added and removed all day. Requests with further keys count
// under an empty route.
const maxKeys = 4096

// New returns empty counts.
func New() *Counts {
	return &Counts{totals: map[key]uint64{}, reported: map[key]uint64{}, latencies: map[string]*Latencies{},
		batchCalls: map[BatchCall]uint64{}}
}

// Add counts a request of a route that ended with an outcome.
func (c *Counts) Add(route string, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	labels := key{Route: route, Outcome: outcome}
	if _, known := c.totals[labels]; !known && len(c.totals) >= maxKeys {
		labels.Route = ""
	}
	c.totals[labels]++
}

// maxRoutes bounds the number of routes with a latency histogram. Latencies of further routes count under an empty
// route.
const maxRoutes = 512

// AddLatency counts the latency of a request that got a response: the time to the first event of a stream, or to the
// response.
func (c *Counts) AddLatency(route string, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	histogram := c.latencies[route]
	if histogram == nil {
		if len(c.latencies) >= maxRoutes {
			route = ""
		}
		histogram = &Latencies{}
		if known := c.latencies[route]; known != nil {
			histogram = known
		}
		c.latencies[route] = histogram
	}
	seconds := latency.Seconds()
	bucket, _ := slices.BinarySearch(LatencyBounds, seconds)
	histogram.Buckets[bucket]++
	histogram.Sum += seconds
}

// RouteLatencies returns a copy of the histograms, by route.
func (c *Counts) RouteLatencies() map[string]Latencies {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[string]Latencies, len(c.latencies))
	for route, histogram := range c.latencies {
		list[route] = *histogram
	}
	return list
}

// AddBatchCall counts a call of the batch interface by its operation and the HTTP status of the response.
func (c *Counts) AddBatchCall(operation string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batchCalls[BatchCall{Operation: operation, Status: status}]++
}

// BatchCalls returns the counts of the calls of the batch interface.
func (c *Counts) BatchCalls() map[BatchCall]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.batchCalls)
}

// RouteCount is the number of a route's requests with one outcome.
type RouteCount struct {
	Route   string
	Outcome Outcome
	Count   uint64
}

// Totals returns all counts since the start, by route and outcome.
func (c *Counts) Totals() []RouteCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedTotals(c.totals)
}

// Delta returns the counts since the last call, by route and outcome.
func (c *Counts) Delta() []RouteCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	delta := map[key]uint64{}
	for labels, count := range c.totals {
		if count > c.reported[labels] {
			delta[labels] = count - c.reported[labels]
		}
	}
	c.reported = maps.Clone(c.totals)
	return sortedTotals(delta)
}

// sortedTotals returns counts in a fixed order: by route, then by outcome.
func sortedTotals(counts map[key]uint64) []RouteCount {
	list := make([]RouteCount, 0, len(counts))
	for labels, count := range counts {
		list = append(list, RouteCount{Route: labels.Route, Outcome: labels.Outcome, Count: count})
	}
	slices.SortFunc(list, func(a, b RouteCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Outcome, b.Outcome))
	})
	return list
}

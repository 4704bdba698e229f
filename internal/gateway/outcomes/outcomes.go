// Package outcomes owns the count of what became of clients' requests, by route and reason, so that an operator can tell of a live gateway
// where answers are late, refused or lost, and why. It decides nothing.
package outcomes

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes. A request counts once, by its last one; late ones count by what they waited for.
const (
	InTime           Outcome = "in_time"
	LateRetried      Outcome = "late_retried"     // earlier attempts took the time
	LateQueued       Outcome = "late_queued"      // its server had as many requests as places, or others waiting
	LatePrefill      Outcome = "late_reading"     // its prompt took long to read
	LateServer       Outcome = "late_server"      // its server was slow, by all that is known without cause
	RejectedOverload Outcome = "refused_overload" // admission cut it
	RejectedQuota    Outcome = "refused_quota"    // its tenant is beyond its rate
	Unready          Outcome = "unready"          // this gateway can't be sure of its configuration or keys, or is ending
	NoServer         Outcome = "no_server"        // no server took it, and none ran it
	ServerFailed     Outcome = "server_failed"    // it ended with a server's own failure
	Lost             Outcome = "lost"             // it may have run, and no answer came
	Truncated        Outcome = "cut"              // its answer broke off midway
	ClientLeft       Outcome = "client_left"      // its client closed the connection before the answer
)

// Attempt is what is known of the attempt that answered.
type Attempt struct {
	Latency         time.Duration // from the request's arrival to the first event, or to the answer
	Target          time.Duration // of the route; 0: none
	EarlierAttempts int           // attempts before this one
	PrefillTokens   int           // tokens that the server was thought to have to read
	InFlight        int           // requests that were at the server by its own word as it was chosen
	Queued          int           // requests that waited there as it answered
	Slots           int           // that the server has; 0: it tells no load
}

// readingRate is how many tokens a server is taken to read in a millisecond, at least.
const prefillTokensPerMs = 100

// Of gives the outcome of a request that was answered.
func Classify(a Attempt) Outcome {
	if a.Target <= 0 || a.Latency <= a.Target {
		return InTime
	}
	switch {
	case a.EarlierAttempts > 0:
		return LateRetried
	case 2*time.Duration(a.PrefillTokens)*time.Millisecond/prefillTokensPerMs >= a.Latency:
		return LatePrefill
	case a.Slots > 0 && (a.InFlight >= a.Slots || a.Queued > 0):
		return LateQueued
	}
	return LateServer
}

// key is what is counted apart.
type key struct {
	Route   string
	Outcome Outcome
}

// Counts are totals since the start. They are safe for concurrent use.
type Counts struct {
	mu       sync.Mutex
	totals   map[key]uint64
	reported map[key]uint64
}

// mostKeys bounds the routes and outcomes that are counted apart: routes come and go all day.
const maxKeys = 4096

// New gives counts of nothing.
func New() *Counts { return &Counts{totals: map[key]uint64{}, reported: map[key]uint64{}} }

// Add counts a request.
func (c *Counts) Add(route string, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := key{Route: route, Outcome: outcome}
	if _, known := c.totals[one]; !known && len(c.totals) >= maxKeys {
		one.Route = ""
	}
	c.totals[one]++
}

// Line is a total.
type RouteCount struct {
	Route   string
	Outcome Outcome
	Count   uint64
}

// Totals lists what was counted, in a fixed order.
func (c *Counts) Totals() []RouteCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedTotals(c.totals)
}

// Since lists what was counted since it was asked last.
func (c *Counts) Delta() []RouteCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := map[key]uint64{}
	for one, count := range c.totals {
		if count > c.reported[one] {
			fresh[one] = count - c.reported[one]
		}
	}
	c.reported = maps.Clone(c.totals)
	return sortedTotals(fresh)
}

func sortedTotals(counts map[key]uint64) []RouteCount {
	list := make([]RouteCount, 0, len(counts))
	for one, count := range counts {
		list = append(list, RouteCount{Route: one.Route, Outcome: one.Outcome, Count: count})
	}
	slices.SortFunc(list, func(a, b RouteCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Outcome, b.Outcome))
	})
	return list
}

// Write writes the totals in Prometheus' text format.
func (c *Counts) WritePrometheus(w io.Writer) error {
	const name = "sprucelane_requests_total"
	if _, err := fmt.Fprintf(w, "# HELP %s Clients' requests by what became of them.\n# TYPE %s counter\n", name, name); err != nil {
		return err
	}
	for _, one := range c.Totals() {
		if _, err := fmt.Fprintf(w, "%s{route=%q,outcome=%q} %d\n", name, one.Route, one.Outcome, one.Count); err != nil {
			return err
		}
	}
	return nil
}

// Package configuration owns the operator's configuration as a value: its model, the immutable snapshot that gateways and
// batch processes work from, and the orders that lead from one version to the next. It reads no clock and does no input or
// output; it must never decide which version is in force.
package configuration

import "time"

// RouteType tells what a route carries.
type RouteType string

// The route types.
const (
	RouteSafe      RouteType = "safe"      // may run more than once
	RouteUnsafe    RouteType = "unsafe"    // at most once a try
	RouteStreaming RouteType = "streaming" // answers are events; unsafe unless resumable
	RouteBatch     RouteType = "batch"     // batch jobs
)

// Route says which requests go to which service, and how.
type Route struct {
	Name               string    `json:"name"`
	Hostname           string    `json:"hostname"`
	PathPrefix         string    `json:"path-prefix"` // begins and ends with a slash
	Type               RouteType `json:"route-type"`
	TimeoutMs          float64   `json:"timeout-ms"`
	TargetLatencyMs    float64   `json:"target-latency-ms"`
	Priority           int       `json:"priority"` // 0 is the highest
	Backend            string    `json:"backend,omitempty"`
	TrafficSplit       []Split   `json:"traffic-split,omitempty"` // in place of Backend
	MaxAttempts        int       `json:"max-attempts"`
	Public             bool      `json:"public"` // takes requests without a key
	Sticky             bool      `json:"sticky"`
	Resumable          bool      `json:"resumable"`
	GapTargetMs        float64   `json:"gap_aim_ms,omitempty"`
	CompletionTargetMs float64   `json:"completion-target-ms,omitempty"`
	RetentionSeconds   float64   `json:"retention-s,omitempty"`
	MaxQueuedTokens    int64     `json:"max-queued-tokens,omitempty"` // of a tenant's batch jobs that wait, over all gateways; 0: no limit
}

// Split is one service of a route with its weight.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Timeout is the longest that the operator wants a request held.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// TargetLatency is the time within which an answer earns its full worth.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMs) }

// CompletionTarget is the time within which a batch job's results are due, from its first send.
func (r *Route) CompletionTarget() time.Duration { return milliseconds(r.CompletionTargetMs) }

// Retention is the time after which an item of a batch job may be given up.
func (r *Route) Retention() time.Duration { return milliseconds(r.RetentionSeconds * 1000) }

// Repeatable tells whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Type == RouteSafe || r.Type == RouteStreaming && r.Resumable
}

// Backends gives the names of the services that the route may send to.
func (r *Route) Backends() []string {
	if len(r.TrafficSplit) == 0 {
		return []string{r.Backend}
	}
	names := make([]string, 0, len(r.TrafficSplit))
	for _, split := range r.TrafficSplit {
		if split.Weight > 0 {
			names = append(names, split.Backend)
		}
	}
	return names
}

// Backend is a service.
type Backend struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"`
	MaxConns   int    `json:"max-conns"` // of one server, from all callers together; 0: not told
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
	Engine     Engine `json:"engine"`
}

// Engine is what the servers of a service are.
type Engine struct {
	Slots    int     `json:"slots"`
	KVTokens int     `json:"kv-tokens"`
	KVBytes  float64 `json:"kv-bytes"`
	LinkMbps float64 `json:"link-mbps"`
	Stride   int     `json:"stride"` // tokens of an event at most
	Models   []Model `json:"models"`
}

// Model is one that a service serves.
type Model struct {
	Name string `json:"name"`
}

// Limits bound what a client may send and how long it may take. Zero: not told.
type Limits struct {
	MaxHeaderBytes  int     `json:"max-header-bytes"`
	MaxBodyBytes    int     `json:"max-body-bytes"`
	HeaderTimeoutMs float64 `json:"header-timeout-ms"`
	IdleTimeoutMs   float64 `json:"idle-timeout-ms"`
}

// Tenant holds keys.
type Tenant struct {
	Name       string   `json:"name"`
	APIKeys    []string `json:"api-keys"`
	Priority   int      `json:"priority"`   // goes before the route's
	RatePerSec float64  `json:"rate-per-s"` // 0: no limit
	Burst      float64  `json:"burst"`
}

// Document is a whole configuration as it is read.
type Document struct {
	Generation uint64    `json:"generation"`
	Routes     []Route   `json:"routes"`
	Backends   []Backend `json:"backends"`
	Limits     Limits    `json:"limits"`
	Tenants    []Tenant  `json:"tenants"`
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

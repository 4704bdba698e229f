package configuration

import "time"

// RouteType is the type of a route's requests. It determines how they may be handled.
type RouteType string

// The route types.
const (
	RouteSafe      RouteType = "safe"      // idempotent: may be retried and hedged
	RouteUnsafe    RouteType = "unsafe"    // not idempotent: a server runs a request at most once
	RouteStreaming RouteType = "streaming" // the response is a stream of events; idempotent only if the route is resumable
	RouteBatch     RouteType = "batch"     // requests are batch jobs
)

// Document is the typed content of a configuration.
type Document struct {
	Generation uint64    `json:"generation"` // version number assigned by the operator
	Routes     []Route   `json:"routes"`
	Backends   []Backend `json:"backends"`
	Limits     Limits    `json:"limits"`
	Tenants    []Tenant  `json:"tenants"`
}

// Route determines which requests go to which backends, and how. A request takes the route of its host with the
// longest matching prefix.
type Route struct {
	Name               string    `json:"name"`
	Hostname           string    `json:"hostname"`
	PathPrefix         string    `json:"path-prefix"` // begins and ends with a slash
	Type               RouteType `json:"route-type"`
	TimeoutMs          float64   `json:"timeout-ms"`
	TargetLatencyMs    float64   `json:"target-latency-ms"`
	Priority           int       `json:"priority"`                // rank: 0 is the most urgent
	Backend            string    `json:"backend,omitempty"`       // the only backend, unless there is a TrafficSplit
	TrafficSplit       []Split   `json:"traffic-split,omitempty"` // several backends with weights
	MaxAttempts        int       `json:"max-attempts"`            // maximum number of servers that a request is sent to
	Public             bool      `json:"public"`                  // accepts requests without an API key
	Sticky             bool      `json:"sticky"`                  // not used
	Resumable          bool      `json:"resumable"`
	GapTargetMs        float64   `json:"gap_aim_ms,omitempty"` // target for the time between events of a stream; not used
	CompletionTargetMs float64   `json:"completion-target-ms,omitempty"`
	RetentionSeconds   float64   `json:"retention-s,omitempty"`
	MaxQueuedTokens    int64     `json:"max-queued-tokens,omitempty"` // limit for a tenant's batch jobs; 0: no limit
}

// Split is one of a route's backends with its weight.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"` // relative to the sum of all weights; 0: gets no requests
}

// Timeout returns the longest time that a request may take.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// TargetLatency returns the latency target: a response within it has its full value.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMs) }

// CompletionTarget returns the time within which a batch job's results are due, counted from when the job was first
// sent.
func (r *Route) CompletionTarget() time.Duration { return milliseconds(r.CompletionTargetMs) }

// Retention returns the time after which an item of a batch job may be given up.
func (r *Route) Retention() time.Duration { return milliseconds(r.RetentionSeconds * 1000) }

// Idempotent reports whether servers may run a request more than once.
func (r *Route) Idempotent() bool {
	return r.Type == RouteSafe || r.Type == RouteStreaming && r.Resumable
}

// Backends returns the names of the backends that the route may send to.
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

// Backend is a service: a set of servers that serve the same requests. The platform's list contains its servers; of
// the fields configured here only Name and MaxConns have an effect.
type Backend struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"` // not used
	MaxConns   int    `json:"max-conns"`   // maximum for one server, from all gateways together; 0: unknown
	Protocol   string `json:"protocol"`    // not used
	TLS        bool   `json:"tls"`         // not used
	Engine     Engine `json:"engine"`      // not used
}

// Engine describes the servers of a backend. It is validated and kept, but not used.
type Engine struct {
	Slots    int     `json:"slots"`     // number of requests that a server runs at a time
	KVTokens int     `json:"kv-tokens"` // size of a server's KV cache, in tokens
	KVBytes  float64 `json:"kv-bytes"`  // bytes of the KV cache per token
	LinkMbps float64 `json:"link-mbps"` // bandwidth of a server's network link, in Mbit/s
	Stride   int     `json:"stride"`    // maximum number of tokens in one event
	Models   []Model `json:"models"`
}

// Model is a model that a backend serves.
type Model struct {
	Name string `json:"name"`
}

// Limits contains the limits on the sizes and durations of clients' requests. A zero field means that no limit is
// configured.
type Limits struct {
	MaxHeaderBytes  int     `json:"max-header-bytes"`
	MaxBodyBytes    int     `json:"max-body-bytes"`
	HeaderTimeoutMs float64 `json:"header-timeout-ms"`
	IdleTimeoutMs   float64 `json:"idle-timeout-ms"`
}

// Tenant is a customer. A request belongs to the tenant of its API key.
type Tenant struct {
	Name       string   `json:"name"`
	APIKeys    []string `json:"api-keys"`
	Priority   int      `json:"priority"`   // rank: 0 is the most urgent; compared before the route's
	RatePerSec float64  `json:"rate-per-s"` // rate limit in requests per second, over all gateways; 0: no limit
	Burst      float64  `json:"burst"`      // requests
}

// milliseconds converts a number of milliseconds, which may have a fraction, to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package gateway

import (
	"runtime"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/node/metrics"
	"sprucelane.example/sprucelane/internal/pool"
)

// Metrics returns a gateway's metrics. For a nil gateway they have their descriptions but can't be read.
func Metrics(g *Gateway) []metrics.Metric {
	list := append(g.requestMetrics(), g.stateMetrics()...)
	return append(list, g.connectionMetrics()...)
}

// requestMetrics returns the metrics of clients' requests.
func (g *Gateway) requestMetrics() []metrics.Metric {
	quotaCount := func(value func() uint64) func(metrics.Emit) {
		return func(emit metrics.Emit) { emit.Value(float64(value())) }
	}
	return []metrics.Metric{
		{Name: "sprucelane_requests_total", Kind: metrics.Counter, Labels: []string{"route", "outcome"},
			Help: "Clients' requests by what became of them; requests.md explains the outcomes.",
			Read: func(emit metrics.Emit) {
				for _, total := range g.proxy.Outcomes.Totals() {
					emit.Value(float64(total.Count), total.Route, string(total.Outcome))
				}
			}},
		{Name: "sprucelane_request_latency_seconds", Kind: metrics.Histogram, Labels: []string{"route"},
			Help: "Time from a request's arrival to its response, for streams to the first event; answered requests only.",
			Read: func(emit metrics.Emit) {
				for route, latencies := range g.proxy.Outcomes.RouteLatencies() {
					emit.Histogram(outcomes.LatencyBounds, latencies.Buckets[:], latencies.Sum, route)
				}
			}},
		{Name: "sprucelane_batch_calls_total", Kind: metrics.Counter, Labels: []string{"operation", "status"},
			Help: "Calls of the batch interface (submit, read, body, end) by the status of the answer.",
			Read: func(emit metrics.Emit) {
				for call, count := range g.proxy.Outcomes.BatchCalls() {
					emit.Value(float64(count), call.Operation, strconv.Itoa(call.Status))
				}
			}},
		{Name: "sprucelane_quota_admitted_total", Kind: metrics.Counter,
			Help: "Requests that got a token of their tenant's quota.",
			Read: quotaCount(func() uint64 { return g.admitter.quota.Counts().Admitted })},
		{Name: "sprucelane_quota_rejected_total", Kind: metrics.Counter,
			Help: "Requests rejected by quota: beyond the limit, or while no allocator could be reached.",
			Read: quotaCount(func() uint64 { return g.admitter.quota.Counts().Rejected })},
		{Name: "sprucelane_quota_waited_total", Kind: metrics.Counter,
			Help: "Of both, those that waited for a token.",
			Read: quotaCount(func() uint64 { return g.admitter.quota.Counts().Waited })},
		{Name: "sprucelane_quota_grant_requests_total", Kind: metrics.Counter,
			Help: "Requests for grants, sent to the allocator.",
			Read: quotaCount(func() uint64 { return g.admitter.quota.Counts().Requests })},
		{Name: "sprucelane_quota_grant_requests_failed_total", Kind: metrics.Counter,
			Help: "Requests for grants without a reply.",
			Read: quotaCount(func() uint64 { return g.admitter.quota.Counts().Failed })},
	}
}

// stateMetrics returns the metrics of the gateway's copy of control's state and of the process.
func (g *Gateway) stateMetrics() []metrics.Metric {
	return []metrics.Metric{
		{Name: "sprucelane_ready", Kind: metrics.Gauge, Help: "1 while clients should be sent here, as GET /readyz says.",
			Read: func(emit metrics.Emit) { emit.Bool(g.Ready()) }},
		{Name: "sprucelane_configuration_generation", Kind: metrics.Gauge,
			Help: "Generation of the configuration in force; no value before the first.",
			Read: func(emit metrics.Emit) {
				if snapshot := g.subscription.Configuration(); snapshot != nil {
					emit.Value(float64(snapshot.Generation))
				}
			}},
		{Name: "sprucelane_configuration_confirmed", Kind: metrics.Gauge,
			Help: "1 if control confirmed within the last second that the state held here is the latest.",
			Read: func(emit metrics.Emit) { emit.Bool(g.subscription.ConfirmedSince(time.Now().Add(-time.Second))) }},
		{Name: "sprucelane_key_lease_valid", Kind: metrics.Gauge, Help: "1 while API keys may be acted on.",
			Read: func(emit metrics.Emit) { emit.Bool(g.subscription.KeyLeaseValid(time.Now())) }},
		{Name: "sprucelane_servers", Kind: metrics.Gauge, Labels: []string{"backend"},
			Help: "Servers that may be sent requests.",
			Read: func(emit metrics.Emit) {
				if table := g.servers.Current(); table != nil {
					for backend, count := range table.CountByBackend() {
						emit.Value(float64(count), backend)
					}
				}
			}},
		{Name: "sprucelane_body_memory_bytes", Kind: metrics.Gauge,
			Help: "Memory that bodies of requests and buffered responses take.",
			Read: func(emit metrics.Emit) { emit.Value(float64(g.proxy.Bodies.Stats().InUse)) }},
		{Name: "sprucelane_body_memory_waits_total", Kind: metrics.Counter, Help: "Waits for that memory.",
			Read: func(emit metrics.Emit) { emit.Value(float64(g.proxy.Bodies.Stats().Waits)) }},
		{Name: "sprucelane_build_info", Kind: metrics.Gauge, Labels: []string{"role", "go_version"},
			Help: "Always 1: what runs.",
			Read: func(emit metrics.Emit) { emit.Value(1, g.process.Role, runtime.Version()) }},
	}
}

// connectionMetrics returns the metrics of connections to clients and servers.
func (g *Gateway) connectionMetrics() []metrics.Metric {
	count := func(value func(pool.Stats) uint64) func(metrics.Emit) {
		return func(emit metrics.Emit) { emit.Value(float64(value(g.pool.Stats()))) }
	}
	return []metrics.Metric{
		{Name: "sprucelane_client_connections", Kind: metrics.Gauge, Help: "Open connections of clients.",
			Read: func(emit metrics.Emit) { emit.Value(float64(g.openConnections())) }},
		{Name: "sprucelane_server_connections", Kind: metrics.Gauge, Labels: []string{"state"},
			Help: "Connections to servers: idle, or in use or being opened (active).",
			Read: func(emit metrics.Emit) {
				stats := g.pool.Stats()
				emit.Value(float64(stats.Idle), "idle")
				emit.Value(float64(stats.Open-stats.Idle), "active")
			}},
		{Name: "sprucelane_server_connections_opened_total", Kind: metrics.Counter, Help: "Connections opened to servers.",
			Read: count(func(stats pool.Stats) uint64 { return stats.Opened })},
		{Name: "sprucelane_server_connections_reused_total", Kind: metrics.Counter,
			Help: "Requests sent over idle connections.",
			Read: count(func(stats pool.Stats) uint64 { return stats.Reused })},
		{Name: "sprucelane_server_connections_failed_total", Kind: metrics.Counter,
			Help: "Connections that couldn't be opened.",
			Read: count(func(stats pool.Stats) uint64 { return stats.ConnectFailed })},
		{Name: "sprucelane_server_connection_limit_reached_total", Kind: metrics.Counter,
			Help: "Attempts without a connection, as all descriptors for servers were in use.",
			Read: count(func(stats pool.Stats) uint64 { return stats.LimitReached })},
	}
}

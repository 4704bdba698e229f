package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"sprucelane.example/sprucelane/internal/protocol"
)

// manyTenants is the number of tenants in docs/CAPACITY.md.
const manyTenants = 10_000

// BenchmarkStep measures the cost of applying one PATCH to a configuration with many tenants in a gateway.
func BenchmarkStep(b *testing.B) {
	document := Document{
		Generation: 1,
		Routes: []Route{{Name: "assist", Hostname: "assist.example", PathPrefix: "/", Type: RouteStreaming, TimeoutMs: 5000,
			Backend: "lm", MaxAttempts: 2}},
		Backends: []Backend{{Name: "lm", HealthPath: "/healthz", Protocol: "h1"}},
		Limits:   Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for i := range manyTenants {
		document.Tenants = append(document.Tenants, Tenant{
			Name: fmt.Sprintf("tenant-%05d", i), APIKeys: []string{fmt.Sprintf("key-%05d", i)},
			Priority: 1, RatePerSec: 8, Burst: 8,
		})
	}
	whole, err := json.Marshal(document)
	if err != nil {
		b.Fatal(err)
	}
	state := NewState()
	if _, err := state.ApplyUpdate(&protocol.ConfigurationUpdate{Index: 1, Whole: whole}); err != nil {
		b.Fatal(err)
	}
	index := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		body := fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[{"name":"assist","hostname":"assist.example",`+
			`"path-prefix":"/","route-type":"streaming","timeout-ms":%d,"target-latency-ms":400,"priority":0,"backend":"lm",`+
			`"max-attempts":2}]}}`,
			index+1, 5000+index)
		version, err := state.ApplyUpdate(&protocol.ConfigurationUpdate{Index: index + 1, From: index,
			Steps: []protocol.ConfigurationStep{{Index: index + 1, Patch: true, Body: []byte(body)}}})
		if err != nil {
			b.Fatal(err)
		}
		version.Snapshot()
		index++
	}
}

package endpoints

import (
	"fmt"
	"testing"

	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

// manyServers is the number of servers in docs/CAPACITY.md.
const manyServers = 12_000

// unused is a pool without connections.
type unused struct{}

func (unused) Apply([]pool.Change) {}

// BenchmarkApply measures applying a list of many servers of which one has changed.
func BenchmarkApply(b *testing.B) {
	list := protocol.ServerList{Source: "control"}
	for i := range manyServers {
		list.Servers = append(list.Servers, protocol.Server{ID: fmt.Sprintf("i-%06d", i), Backend: fmt.Sprintf("lm-%d", i%9),
			Address: fmt.Sprintf("10.2.%d.%d:8080", i>>8, i&255), Zone: "east", Slots: 24})
	}
	registry := NewRegistry(unused{})
	b.ReportAllocs()
	for b.Loop() {
		list.Version++
		list.Servers[0].Draining = !list.Servers[0].Draining
		registry.Apply(&list)
	}
}

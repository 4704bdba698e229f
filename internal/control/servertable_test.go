package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// TestServerTable updates a table with random lists. Subscribers that are any number of versions behind must arrive
// at the same list.
func TestServerTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table serverTable
		followers := make([]*protocol.ServerList, 3)
		for step := range 3 * maxDeltas {
			var servers []protocol.Server
			for id := range 6 {
				if slots := rapid.IntRange(0, 2).Draw(t, "slots"); slots > 0 {
					servers = append(servers, protocol.Server{ID: fmt.Sprint(id), Slots: slots})
				}
			}
			version := table.version
			changed := table.update(discovery.NewList(servers), time.Duration(step))
			if changed != (table.version == version+1) {
				t.Fatal("update reported a change without a new version, or the reverse")
			}
			follower := rapid.IntRange(0, 5*len(followers)).Draw(t, "follower")
			if follower >= len(followers) {
				continue
			}
			has := uint64(0)
			if followers[follower] != nil {
				has = followers[follower].Version
			}
			next, err := serverlist.ApplyUpdate(followers[follower], table.messageFrom("a", has, time.Duration(step)))
			if err != nil {
				t.Fatal(err)
			}
			if next.Version != table.version ||
				len(next.Servers)+len(table.list.Servers) > 0 && !reflect.DeepEqual(next.Servers, table.list.Servers) {
				t.Fatalf("the follower has list %v, want %v", next, table.list)
			}
			followers[follower] = next
		}
	})
}

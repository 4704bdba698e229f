package server

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// fakeControl is a control process that sends a configuration, servers and views, and grants leases.
type fakeControl struct {
	mutex          sync.Mutex
	server         *transport.Server
	configuration  []byte
	servers        []protocol.Server
	view           protocol.StoreView
	membersVersion uint64
}

// startControl starts a fakeControl that serves until the test ends.
func startControl(t *testing.T, servers []protocol.Server) *fakeControl {
	c := &fakeControl{servers: servers, membersVersion: 1}
	c.configuration, _ = json.Marshal(map[string]any{
		"generation": 1,
		"routes": []any{map[string]any{
			"name": "route", "hostname": "host.example", "path-prefix": "/p/", "route-type": "batch",
			"backend": testService, "timeout-ms": 5000, "target-latency-ms": 400, "completion-target-ms": 10000,
			"retention-s": 30, "max-attempts": 3,
		}},
		"backends": []any{map[string]any{"name": testService, "health-path": "/healthz"}},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{"key"}}},
	})
	settings := testSettings(testControl, "control", "")
	listener, err := net.Listen("tcp", settings.Endpoint(node.PortControl))
	if err != nil {
		t.Fatal(err)
	}
	options := transport.Options{Identity: transport.Identity{System: protocol.System}}
	c.server = transport.Serve(listener, options, c.handle)
	t.Cleanup(c.server.Close)
	return c
}

// handle answers a poll with the data that the process doesn't have yet, and with a lease. A process that polls is
// admitted to the view.
func (c *fakeControl) handle(_ context.Context, _ *transport.Session, message any) (any, error) {
	poll := message.(protocol.Poll)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.admit(poll.Process)
	update := protocol.Update{Sequence: poll.Sequence, Fresh: true, Store: &protocol.StoreGrant{
		Epoch: c.view.Epoch, Member: true, Lease: 1500 * time.Millisecond,
	}}
	if poll.Configuration == 0 {
		update.Configuration = &protocol.ConfigurationUpdate{Index: 1, Whole: c.configuration}
	}
	if poll.Servers == 0 {
		update.Servers = &protocol.ServerList{Version: 1, Servers: c.servers}
	}
	if poll.Members != c.membersVersion {
		update.Members = &protocol.MemberList{Version: c.membersVersion, Vouched: true, Stores: c.view}
	}
	return update, nil
}

// admit adds a process to the view. It replaces an earlier incarnation of its node.
func (c *fakeControl) admit(process protocol.Process) {
	var members []protocol.StoreMember
	for _, member := range c.view.Members {
		if member.Process == process {
			return
		}
		if member.Node != process.Node {
			members = append(members, member)
		}
	}
	c.change(append(members, protocol.StoreMember{Process: process}))
}

// change begins a new view.
func (c *fakeControl) change(members []protocol.StoreMember) {
	c.membersVersion++
	c.view = protocol.StoreView{Epoch: c.view.Epoch + 1, Members: members}
}

// evict removes a node from the view.
func (c *fakeControl) evict(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var members []protocol.StoreMember
	for _, member := range c.view.Members {
		if member.Node != name {
			members = append(members, member)
		}
	}
	c.change(members)
}

// members returns the view as gateways receive it.
func (c *fakeControl) members() *protocol.MemberList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return &protocol.MemberList{Version: c.membersVersion, Vouched: true, Stores: c.view}
}

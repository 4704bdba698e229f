package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/gateway/batchproxy"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

const (
	testPorts   = 27360
	testControl = "127.0.8.10"
	testService = "service"
	testEvents  = 5
)

// control stands for a control process: it hands out a configuration, servers and views, and grants leases.
type fakeControl struct {
	mutex          sync.Mutex
	server         *transport.Server
	configuration  []byte
	servers        []protocol.Server
	view           protocol.StoreView
	polledAt       map[string]time.Time
	membersVersion uint64
}

func startControl(t *testing.T, servers []protocol.Server) *fakeControl {
	c := &fakeControl{servers: servers, polledAt: map[string]time.Time{}, membersVersion: 1}
	c.configuration, _ = json.Marshal(map[string]any{
		"generation": 1,
		"routes": []any{map[string]any{
			"name": "route", "hostname": "host.example", "path-prefix": "/p/", "route-type": "batch", "timeout-ms": 5000,
			"target-latency-ms": 400, "completion-target-ms": 10000, "retention-s": 30, "backend": testService, "max-attempts": 3,
		}},
		"backends": []any{map[string]any{"name": testService, "health-path": "/healthz"}},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{"key"}}},
	})
	settings := testSettings(testControl, "control", "")
	listener, err := net.Listen("tcp", settings.Endpoint(node.PortControl))
	if err != nil {
		t.Fatal(err)
	}
	c.server = transport.Serve(listener, transport.Options{Identity: transport.Identity{System: protocol.System}}, c.handle)
	t.Cleanup(c.server.Close)
	return c
}

func (c *fakeControl) handle(_ context.Context, _ *transport.Session, message any) (any, error) {
	poll := message.(protocol.Poll)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.polledAt[poll.Process.Node] = time.Now()
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

func (c *fakeControl) change(members []protocol.StoreMember) {
	c.membersVersion++
	c.view = protocol.StoreView{Epoch: c.view.Epoch + 1, Members: members}
}

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

func (c *fakeControl) members() *protocol.MemberList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return &protocol.MemberList{Version: c.membersVersion, Vouched: true, Stores: c.view}
}

func testSettings(ip, name, directory string) *node.Settings {
	return &node.Settings{
		NodeName: name, Role: "store", Serves: []string{"store"}, IP: ip, Zone: "zone-" + name, FirstPort: testPorts, LastPort: testPorts + 15,
		Seeds: []string{testControl + ":1"}, DataDir: directory, Limits: node.Limits{MemoryMB: 300, DiskMB: 100, MaxFDs: 1000},
		Bootstrap: true, Tolerance: node.Tolerance{Machines: 1},
		Bounds: node.Bounds{Status: 2 * time.Minute, Closed: true, Revoke: 5 * time.Second},
	}
}

// model stands for a model server whose behaviour follows from the item's id.
type fakeModelServer struct {
	mutex        sync.Mutex
	counts       map[string]int
	lastEventIDs map[string]string // Last-Event-Id by item
}

func startModelServer(t *testing.T) (*fakeModelServer, protocol.Server) {
	m := &fakeModelServer{counts: map[string]int{}, lastEventIDs: map[string]string{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return m, protocol.Server{ID: "i-1", Backend: testService, Address: listener.Addr().String(), Zone: "zone-store-1", Slots: 24}
}

func (m *fakeModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	m.mutex.Lock()
	m.counts[id]++
	count := m.counts[id]
	m.lastEventIDs[id] = r.Header.Get("Last-Event-Id")
	m.mutex.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "s")
	if r.Host != "host.example" || r.Header.Get("X-Tenant") != "tenant" || r.Header.Get("X-Expect-Instance") != "i-1" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case strings.HasPrefix(id, "impossible"):
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	case strings.HasPrefix(id, "failing"):
		w.WriteHeader(http.StatusInternalServerError)
		return
	case strings.HasPrefix(id, "busy") && count == 1:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		number, _ := strconv.Atoi(last)
		first = number + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for number := first; number <= testEvents; number++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number, id, number)
		w.(http.Flusher).Flush()
		if strings.HasPrefix(id, "cut") && count == 1 && number == 3 {
			connection, out, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprintf(out, "20\r\nid: 4\ndata: half")
			_ = out.Flush()
			_ = connection.Close()
			return
		}
	}
}

type runningStore struct {
	server *Server
	cancel context.CancelFunc
	done   chan error
}

func startStore(t *testing.T, number int, directory string) *runningStore {
	settings := testSettings(fmt.Sprintf("127.0.8.%d", 10+number), fmt.Sprintf("store-%d", number), directory)
	s, err := New(settings, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningStore{server: s, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- s.Run(ctx) }()
	return r
}

func (r *runningStore) stop(t *testing.T) {
	r.cancel()
	select {
	case err := <-r.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("a store doesn't end")
	}
}

func submission(ids ...string) []byte {
	var requests []any
	for _, id := range ids {
		requests = append(requests, map[string]any{
			"id": id, "path": "/p/1/x", "headers": map[string]string{"X-Model": "m", "X-Prompt-Prefix": "aa:3,bb:4"},
			"body": []byte("body of " + id), "tokens": 100,
		})
	}
	body, _ := json.Marshal(map[string]any{"requests": requests})
	return body
}

// until calls until a status comes, for a bounded time.
func callUntil(t *testing.T, caller *batchproxy.Caller, call protocol.BatchCall, status int) protocol.BatchAnswer {
	deadline := time.Now().Add(10 * time.Second)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		answer := caller.Call(ctx, call)
		cancel()
		if answer.Status == status {
			return answer
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v: status %d, wanted %d", call.Operation, answer.Status, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

type resultsPage struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID, State, Text string
	} `json:"results"`
}

// readAll reads results until all are there.
func readAllResults(t *testing.T, caller *batchproxy.Caller, id string, total int) map[string]string {
	found := map[string]string{}
	for start := 0; start < total; {
		answer := callUntil(t, caller, protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: id, Tenant: "tenant", Start: start, WaitMs: 500}, 200)
		var page resultsPage
		if err := json.Unmarshal(answer.Body, &page); err != nil {
			t.Fatal(err)
		}
		if page.Total != total || page.Next != start+len(page.Results) {
			t.Fatalf("total %d, next %d after %d from %d", page.Total, page.Next, len(page.Results), start)
		}
		for _, result := range page.Results {
			found[result.ID] = result.State + ": " + result.Text
		}
		start = page.Next
	}
	return found
}

func completed(id string) string {
	lines := make([]string, testEvents)
	for i := range lines {
		lines[i] = fmt.Sprintf("%s %d", id, i+1)
	}
	return "completed: " + strings.Join(lines, "\n")
}

func TestBatchProcesses(t *testing.T) {
	model, server := startModelServer(t)
	control := startControl(t, []protocol.Server{server})
	directories := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var stores []*runningStore
	for i, directory := range directories {
		stores = append(stores, startStore(t, i+1, directory))
	}
	settings := testSettings("127.0.8.20", "front-1", "")
	settings.Zone = "zone-store-1"
	caller := batchproxy.New(settings, transport.Options{Identity: transport.Identity{System: protocol.System, Role: protocol.RoleGateway}}, control.members,
		serverload.NewTable())
	t.Cleanup(caller.Close)
	call := func(operation protocol.BatchOperation, id string) protocol.BatchCall {
		return protocol.BatchCall{Operation: operation, BatchJob: id, Tenant: "tenant", Route: "route"}
	}

	Convey("A batch job is kept, run, read and outlives a store", t, func() {
		ids := []string{"plain-1", "plain-2", "impossible-1", "failing-1", "busy-1", "cut-1"}
		submit := call(protocol.BatchSubmit, "job-1")
		submit.Body = submission(ids...)
		callUntil(t, caller, submit, 202)
		So(caller.Call(context.Background(), submit).Status, ShouldEqual, 202)
		found := readAllResults(t, caller, "job-1", len(ids))
		So(found, ShouldResemble, map[string]string{
			"plain-1": completed("plain-1"), "plain-2": completed("plain-2"), "busy-1": completed("busy-1"), "cut-1": completed("cut-1"),
			"impossible-1": "dead_letter: ", "failing-1": "dead_letter: ",
		})
		So(model.counts["plain-1"], ShouldEqual, 1)
		So(model.counts["impossible-1"], ShouldEqual, 1)
		So(model.counts["failing-1"], ShouldEqual, 3)
		So(model.counts["cut-1"], ShouldEqual, 2)
		So(model.lastEventIDs["cut-1"], ShouldEqual, "3")

		callUntil(t, caller, call(protocol.BatchRead, "no-such-job"), 404)
		other := call(protocol.BatchRead, "job-1")
		other.Tenant = "another"
		callUntil(t, caller, other, 404)

		second := call(protocol.BatchSubmit, "job-2")
		second.Body = submission("plain-3", "plain-4")
		callUntil(t, caller, second, 202)
		callUntil(t, caller, call(protocol.BatchEnd, "job-2"), 200)
		callUntil(t, caller, call(protocol.BatchEnd, "job-2"), 200)

		stores[0].stop(t)
		control.evict("store-1")
		So(readAllResults(t, caller, "job-1", len(ids)), ShouldResemble, found)
		stores[0] = startStore(t, 1, directories[0])
		third := call(protocol.BatchSubmit, "job-3")
		third.Body = submission("plain-5", "cut-2")
		callUntil(t, caller, third, 202)
		So(readAllResults(t, caller, "job-3", 2), ShouldResemble, map[string]string{"plain-5": completed("plain-5"), "cut-2": completed("cut-2")})
		So(readAllResults(t, caller, "job-1", len(ids)), ShouldResemble, found)
	})
	for _, store := range stores {
		store.stop(t)
	}
}

func TestIncarnation(t *testing.T) {
	Convey("A disk keeps its incarnation, each start counts, and an empty disk begins another", t, func() {
		directory := t.TempDir()
		first, err := openIncarnation(directory)
		So(err, ShouldBeNil)
		second, err := openIncarnation(directory)
		So(err, ShouldBeNil)
		So(second.id, ShouldEqual, first.id)
		So(second.starts, ShouldEqual, first.starts+1)
		other, err := openIncarnation(t.TempDir())
		So(err, ShouldBeNil)
		So(other.id, ShouldNotEqual, first.id)
		So(second.unreadable || other.unreadable, ShouldBeFalse)
		_, err = openIncarnation("")
		So(err, ShouldEqual, errNoDataDir)
	})
}

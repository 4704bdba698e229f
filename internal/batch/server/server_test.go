package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/job"
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

// testSettings returns the settings of a process that listens on a loopback address.
func testSettings(ip, name, directory string) *node.Settings {
	return &node.Settings{
		NodeName: name, Role: "store", Serves: []string{"store"}, IP: ip, Zone: "zone-" + name,
		FirstPort: testPorts, LastPort: testPorts + 15, Seeds: []string{testControl + ":1"},
		DataDir: directory, Limits: node.Limits{MemoryMB: 300, DiskMB: 100, MaxFDs: 1000},
		Bootstrap: true, Tolerance: node.Tolerance{Machines: 1},
		Bounds: node.Bounds{Status: 2 * time.Minute, Closed: true, Revoke: 5 * time.Second},
	}
}

// runningStore is a batch process that runs within the test's process.
type runningStore struct {
	server *Server
	cancel context.CancelFunc
	done   chan error
}

// startStore starts a batch process on a directory.
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

// submission returns the body of a submission of items with these ids.
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

// callUntil repeats a call until it is answered with a given status. The test fails after 10 s.
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

// submitUnchecked submits items to the stores without the checks of a submission's syntax, as stores of earlier versions
// accepted them. It asks one store after the other and returns the last status.
func submitUnchecked(stores []*runningStore, call protocol.BatchCall, items []job.Item) (status int) {
	for _, store := range stores {
		answered := make(chan protocol.BatchAnswer, 1)
		s := store.server
		s.mutex.Lock()
		s.lastCall++
		s.pendingCalls[s.lastCall] = answered
		s.stateMachine.Call(s.lastCall, call, items)
		s.mutex.Unlock()
		if status = (<-answered).Status; status == 202 {
			return status
		}
	}
	return status
}

// resultsPage is the body of the answer to a read.
type resultsPage struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID, State, Text string
	} `json:"results"`
}

// readAllResults reads the results of a batch job until there are total ones, and returns them by item.
func readAllResults(t *testing.T, caller *batchproxy.Caller, id string, total int) map[string]string {
	found := map[string]string{}
	for start := 0; start < total; {
		read := protocol.BatchCall{
			Operation: protocol.BatchRead, BatchJob: id, Tenant: "tenant", Start: start, WaitMs: 500,
		}
		answer := callUntil(t, caller, read, 200)
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

// completed returns the result of an item that a fakeModelServer answered in full.
func completed(id string) string {
	lines := make([]string, testEvents)
	for i := range lines {
		lines[i] = fmt.Sprintf("%s %d", id, i+1)
	}
	return "completed: " + strings.Join(lines, "\n")
}

// TestBatchProcesses runs batch jobs on three stores that use sockets and files, and restarts a store.
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
	identity := transport.Identity{System: protocol.System, Role: protocol.RoleGateway}
	caller := batchproxy.New(settings, transport.Options{Identity: identity}, control.members, serverload.NewTable())
	t.Cleanup(caller.Close)
	call := func(operation protocol.BatchOperation, id string) protocol.BatchCall {
		return protocol.BatchCall{Operation: operation, BatchJob: id, Tenant: "tenant", Route: "route"}
	}

	Convey("A batch job is stored, run and read, and remains readable when a store is lost", t, func() {
		ids := []string{"plain-1", "plain-2", "impossible-1", "failing-1", "busy-1", "interrupted-1"}
		submit := call(protocol.BatchSubmit, "job-1")
		submit.Body = submission(ids...)
		callUntil(t, caller, submit, 202)
		So(caller.Call(context.Background(), submit).Status, ShouldEqual, 202)
		found := readAllResults(t, caller, "job-1", len(ids))
		So(found, ShouldResemble, map[string]string{
			"plain-1": completed("plain-1"), "plain-2": completed("plain-2"),
			"busy-1": completed("busy-1"), "interrupted-1": completed("interrupted-1"),
			"impossible-1": "dead_letter: ", "failing-1": "dead_letter: ",
		})
		So(model.counts["plain-1"], ShouldEqual, 1)
		So(model.counts["impossible-1"], ShouldEqual, 1)
		So(model.counts["failing-1"], ShouldEqual, 3)
		So(model.counts["interrupted-1"], ShouldEqual, 2)
		So(model.lastEventIDs["interrupted-1"], ShouldEqual, "3")

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
		third.Body = submission("plain-5", "interrupted-2")
		callUntil(t, caller, third, 202)
		So(readAllResults(t, caller, "job-3", 2), ShouldResemble,
			map[string]string{"plain-5": completed("plain-5"), "interrupted-2": completed("interrupted-2")})
		So(readAllResults(t, caller, "job-1", len(ids)), ShouldResemble, found)
	})
	Convey("An item that holds a request for another tenant is refused, and isn't sent if a disk holds it already", t, func() {
		hostile := job.Item{ID: "hostile-1", Path: "/p/1 HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: smuggled-1\r\n" +
			"X-Tenant: tenant\r\nX-Expect-Instance: i-1\r\nContent-Length: 0\r\n\r\nPOST /p/1"}
		submit := call(protocol.BatchSubmit, "job-4")
		submit.Body, _ = json.Marshal(map[string]any{"requests": []any{map[string]any{"id": hostile.ID, "path": hostile.Path}}})
		answer := callUntil(t, caller, submit, 400)
		So(string(answer.Body), ShouldContainSubstring, "requests[0]: path")
		callUntil(t, caller, call(protocol.BatchRead, "job-4"), 404)

		stored := call(protocol.BatchSubmit, "job-5")
		for submitUnchecked(stores, stored, []job.Item{hostile, {ID: "plain-6", Path: "/p/1"}}) != 202 {
			time.Sleep(20 * time.Millisecond)
		}
		read := call(protocol.BatchRead, "job-5")
		read.WaitMs = 500
		var page resultsPage
		for len(page.Results) == 0 {
			So(json.Unmarshal(callUntil(t, caller, read, 200).Body, &page), ShouldBeNil)
		}
		So(page.Results, ShouldHaveLength, 1)
		So(page.Results[0].ID, ShouldEqual, "plain-6")
		model.mutex.Lock()
		defer model.mutex.Unlock()
		So(model.counts["smuggled-1"], ShouldEqual, 0)
		So(model.counts["hostile-1"], ShouldEqual, 0)
	})
	for _, store := range stores {
		store.stop(t)
	}
}

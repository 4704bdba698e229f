package modelserver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func start(t *testing.T, change func(*Options)) (*Server, *ExecutionLog) {
	executions := &ExecutionLog{}
	options := Options{ID: "i-1", Service: "s", Address: "127.0.0.1:0", Slots: 2, KVTokens: 1000, PrefillRate: 1e6,
		EventInterval: time.Millisecond, TokensPerEvent: 10, ExecutionLog: executions}
	if change != nil {
		change(&options)
	}
	server, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server, executions
}

// send sends a request; headers are pairs of name and value.
func send(s *Server, headers ...string) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/p/1",
		strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func TestRequest(t *testing.T) {
	server, executions := start(t, nil)
	Convey("A request gets its events with rising ids, signed, and is recorded", t, func() {
		response, text, err := send(server, headerRequest, "r1", headerTokenUsage, "20,25", headerTenant, "t")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(response.Header.Get(headerRequest), ShouldEqual, "r1")
		So(response.Header.Get(headerSignature), ShouldNotBeEmpty)
		So(text, ShouldEqual, "id: 1\ndata: "+EventData("r1", 1)+"\n\n"+
			"id: 2\ndata: "+EventData("r1", 2)+"\n\n"+
			"id: 3\ndata: "+EventData("r1", 3)+"\n\n")
		recorded := executions.Executions()
		So(recorded, ShouldHaveLength, 1)
		So(recorded[0].Tenant, ShouldEqual, "t")
		So(string(recorded[0].Body), ShouldEqual, "body")
	})
	Convey("Another execution resumes after an event", t, func() {
		_, text, err := send(server, headerRequest, "r1", headerTokenUsage, "20,25", headerLastEvent, "2")
		So(err, ShouldBeNil)
		So(text, ShouldEqual, "id: 3\ndata: "+EventData("r1", 3)+"\n\n")
		So(executions.Duplicates(), ShouldEqual, 0)
	})
	Convey("A rejection says that the request hasn't run, and nothing is recorded", t, func() {
		before := len(executions.Executions())
		response, _, err := send(server, headerRequest, "r2", headerExpectInstance, "i-other")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 421)
		So(response.Header.Get(headerInstance), ShouldEqual, "i-1")
		response, _, err = send(server)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 400)
		So(response.Header.Get(headerNotExecuted), ShouldEqual, "1")
		So(executions.Executions(), ShouldHaveLength, before)
	})
	Convey("Health follows draining", t, func() {
		health := func() int {
			response, err := http.Get("http://" + server.Address() + "/healthz")
			So(err, ShouldBeNil)
			response.Body.Close()
			So(response.Header.Get(headerInstance), ShouldEqual, "i-1")
			return response.StatusCode
		}
		So(health(), ShouldEqual, 200)
		server.Drain()
		So(health(), ShouldEqual, 503)
	})
}

func TestFullServer(t *testing.T) {
	server, _ := start(t, func(o *Options) { o.Slots, o.EventInterval = 1, time.Hour })
	Convey("Beyond slots and queue a request is rejected, and a stop breaks streams off", t, func() {
		running, waiting := make(chan error, 1), make(chan error, 1)
		sendAsync := func(id string, ended chan error) {
			_, _, err := send(server, headerRequest, id)
			ended <- err
		}
		go sendAsync("r1", running)
		until(t, func() bool { return server.Running() == 1 })
		go sendAsync("r2", waiting)
		until(t, func() bool { return server.queued.Load() == 1 })
		response, _, err := send(server, headerRequest, "r3")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get(headerNotExecuted), ShouldEqual, "1")
		server.Stop()
		So(<-running, ShouldNotBeNil)
		<-waiting // rejected or broken off
	})
}

func TestDeadline(t *testing.T) {
	server, _ := start(t, func(o *Options) { o.PrefillRate = 1 })
	Convey("A request whose deadline passes before its first event gets the server's own 504", t, func() {
		response, _, err := send(server, headerRequest, "r1", headerPromptPrefix, "a:100", headerDeadline, "20")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 504)
	})
}

func TestCache(t *testing.T) {
	Convey("Cached parts aren't read again while all before them are cached", t, func() {
		c := newPrefixCache(1000)
		So(c.insert([]promptPart{{"a", 300}, {"b", 200}}), ShouldEqual, 500)
		So(c.insert([]promptPart{{"a", 300}, {"c", 100}}), ShouldEqual, 100)
		So(c.insert([]promptPart{{"c", 100}}), ShouldEqual, 100)
		So(c.used(), ShouldEqual, 700)
	})
	Convey("The least recently used parts are evicted", t, func() {
		c := newPrefixCache(500)
		c.insert([]promptPart{{"a", 300}})
		c.insert([]promptPart{{"b", 300}})
		So(c.used(), ShouldEqual, 300)
		So(c.insert([]promptPart{{"b", 300}}), ShouldEqual, 0)
		So(c.insert([]promptPart{{"a", 300}}), ShouldEqual, 300)
	})
}

func until(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out")
		}
	}
}

func TestFaults(t *testing.T) {
	server, executions := start(t, nil)
	Convey("A server rejects, is silent before and within a response, and breaks off, while it is told to", t, func() {
		server.SetFaults(Faults{Reject: true})
		response, _, err := send(server, headerRequest, "r1", headerTokenUsage, "20,30")
		So(err, ShouldBeNil)
		So(response.Header.Get(headerNotExecuted), ShouldNotBeEmpty)
		So(executions.Executed("r1"), ShouldBeFalse)
		const pause = 50 * time.Millisecond
		for _, faults := range []Faults{{PauseBefore: pause}, {PauseWithin: pause}} {
			server.SetFaults(faults)
			began := time.Now()
			_, text, err := send(server, headerRequest, "r2", headerTokenUsage, "20,30")
			So(err, ShouldBeNil)
			So(strings.Count(text, "data:"), ShouldEqual, 3)
			So(time.Since(began), ShouldBeGreaterThanOrEqualTo, pause)
			So(executions.BrokenOff("r2"), ShouldBeFalse)
		}
		server.SetFaults(Faults{BreakOff: true})
		_, text, err := send(server, headerRequest, "r3", headerTokenUsage, "20,30")
		So(err, ShouldNotBeNil)
		So(strings.Count(text, "data:"), ShouldEqual, 1)
		So(executions.BrokenOff("r3"), ShouldBeTrue)
		server.SetFaults(Faults{})
		_, _, err = send(server, headerRequest, "r4", headerTokenUsage, "20,30")
		So(err, ShouldBeNil)
		So(executions.Executed("r4"), ShouldBeTrue)
	})
}

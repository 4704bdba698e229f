package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/retry"
	"sprucelane.example/sprucelane/internal/protocol"
)

func TestForwardedRequest(t *testing.T) {
	Convey("A request reaches the server unchanged but for the headers that the gateway adds and removes", t, func() {
		r := startGateway(t, 1, good)
		got := r.askWith("POST", "/safe/a%2Fb/../c?q=%20x&&", strings.Repeat("b", 9000), "X-Tenant", "other", "X-Expect-Instance", "i-77",
			"Connection", "X-Hop, keep-alive", "X-Hop", "1", "X-Model", "m", "X-Deadline-Ms", "900", "Expect", "")
		So(got.status, ShouldEqual, 200)
		seen := r.seen()[0]
		So(seen.Method, ShouldEqual, "POST")
		So(seen.RequestURI, ShouldEqual, "/safe/a%2Fb/../c?q=%20x&&")
		So(seen.Host, ShouldEqual, "h.example")
		So(seen.Text, ShouldEqual, strings.Repeat("b", 9000))
		So(seen.Header["X-Tenant"], ShouldResemble, []string{testTenant})
		So(seen.Header["X-Expect-Instance"], ShouldResemble, []string{"i-0"})
		So(seen.Header["X-Request-Id"], ShouldResemble, []string{"id-1"})
		So(seen.Header.Get("X-Model"), ShouldEqual, "m")
		So(seen.Header, ShouldNotContainKey, "Api-Key")
		So(seen.Header, ShouldNotContainKey, "X-Hop")
		So(seen.Header["X-Deadline-Ms"], ShouldHaveLength, 1)
		So(len(seen.Header.Get("X-Deadline-Ms")), ShouldBeLessThanOrEqualTo, 3)
	})
	Convey("A chunked body arrives complete", t, func() {
		r := startGateway(t, 1, good)
		got := r.askWith("POST", "/safe/x", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "Content-Length", "", "Transfer-Encoding", "chunked")
		So(got.status, ShouldEqual, 200)
		So(r.seen()[0].Text, ShouldEqual, "abcde")
	})
	Convey("A public route needs no key, and a request with an unknown key has no tenant", t, func() {
		r := startGateway(t, 1, good)
		for _, key := range []string{"", "unknown"} {
			So(r.ask("POST", "/open/x", "Api-Key", key, "X-Tenant", "one").status, ShouldEqual, 200)
		}
		for _, seen := range r.seen() {
			So(seen.Header, ShouldNotContainKey, "X-Tenant")
			So(seen.Header, ShouldNotContainKey, "Api-Key")
		}
	})
}

func TestGatewayErrors(t *testing.T) {
	cases := map[string]struct {
		path   string
		header []string
		status int
	}{
		"no route":          {"/nowhere/x", nil, 404},
		"another host":      {"/safe/x", []string{"Host", "other.example"}, 404},
		"unknown key":       {"/safe/x", []string{"Api-Key", "unknown"}, 401},
		"no key":            {"/safe/x", []string{"Api-Key", ""}, 401},
		"no id":             {"/safe/x", []string{"X-Request-Id", ""}, 400},
		"a whole URL":       {"http://h.example/safe/x", nil, 400},
		"too long":          {"/safe/x", []string{"Content-Length", "10001"}, 413},
		"length and chunks": {"/safe/x", []string{"Transfer-Encoding", "chunked", "Content-Length", "8"}, 400},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			r := startGateway(t, 1, good)
			got := r.ask("POST", test.path, test.header...)
			So(got.status, ShouldEqual, test.status)
			So(r.seen(), ShouldBeEmpty)
		})
	}
	Convey("A request with an unknown route or key is denied only after control has confirmed that", t, func() {
		r := startGateway(t, 1, good)
		r.control.reachable.Store(false)
		for _, test := range []string{"no route", "unknown key"} {
			got := r.ask("POST", cases[test].path, cases[test].header...)
			So(got.status, ShouldEqual, 503)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		}
		r.control.reachable.Store(true)
		r.control.onAwait = func() {
			document := testDocument()
			document.Tenants[0].APIKeys = append(document.Tenants[0].APIKeys, "new")
			r.control.configuration.Store(configuration.NewSnapshot(document, 2))
		}
		So(r.ask("POST", "/safe/x", "Api-Key", "new").status, ShouldEqual, 200)
	})
	Convey("Without a configuration, or once the key lease has expired, nothing goes to a server", t, func() {
		r := startGateway(t, 1, good)
		r.control.leaseExpired.Store(true)
		got := r.ask("POST", "/unsafe/x")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(r.ask("POST", "/open/x", "Api-Key", "").status, ShouldEqual, 200)
		r.control.configuration.Store(nil)
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 503)
		So(r.seen(), ShouldHaveLength, 1)
	})
	Convey("No request waits for control longer than its client waits for the response", t, func() {
		r := startGateway(t, 1, good)
		for deadlineMs, want := range map[string]time.Duration{"60": 60 * time.Millisecond, "9000": denialWait, "": denialWait} {
			So(r.ask("POST", "/nowhere/x", "X-Deadline-Ms", deadlineMs).status, ShouldEqual, 404)
			So(r.control.waited, ShouldEqual, want)
		}
		r.control.configuration.Store(nil)
		for deadlineMs, want := range map[string]time.Duration{"60": 60 * time.Millisecond, "9000": firstConfigurationWait, "": firstConfigurationWait} {
			got := r.ask("POST", "/unsafe/x", "X-Deadline-Ms", deadlineMs)
			So(got.status, ShouldEqual, 503)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(r.control.waited, ShouldEqual, want)
		}
		for path, method := range map[string]string{"/lots/job": http.MethodGet, "/items/job?id=i": http.MethodGet, "/lots/x": "POST"} {
			got := r.ask(method, path)
			So(got.status, ShouldEqual, 503)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		}
	})
	Convey("The key lease is checked again right before the first byte", t, func() {
		r := startGateway(t, 1, good)
		r.proxy.Admission = admitThenExpireLease{control: r.control}
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 503)
		So(r.seen(), ShouldBeEmpty)
	})
}

// admitThenExpireLease is an Admission during which the key lease expires. It admits all requests.
type admitThenExpireLease struct {
	AdmitAll
	control *fakeControl
}

func (l admitThenExpireLease) Admit(context.Context, AdmissionRequest) Rejection {
	l.control.leaseExpired.Store(true)
	return Rejection{}
}

func TestBatchCalls(t *testing.T) {
	Convey("Calls for batch jobs go to a batch process with their operation and arguments", t, func() {
		r := startGateway(t, 1, good)
		r.batch.answer = protocol.BatchAnswer{Status: 202, Body: []byte("{}"), ContentType: "application/json", RetryAfterMs: 250}
		got := r.askWith("POST", "/lots/abc", `{"requests":[]}`, "X-Request-Id", "job")
		So(got.status, ShouldEqual, 202)
		So(got.body, ShouldEqual, "{}")
		So(got.header.Get("Retry-After"), ShouldEqual, "0.25")
		So(r.ask(http.MethodGet, "/lots/job?start-after=12", "X-Wait-Ms", "1000", "X-Request-Id", "").status, ShouldEqual, 202)
		So(r.ask(http.MethodGet, "/other/job").status, ShouldEqual, 404)
		So(r.ask(http.MethodGet, "/items/job?id=item", "X-Request-Id", "").status, ShouldEqual, 202)
		So(r.ask(http.MethodDelete, "/lots/job", "X-Request-Id", "").status, ShouldEqual, 202)
		So(r.batch.calls, ShouldResemble, []protocol.BatchCall{
			{Operation: protocol.BatchSubmit, BatchJob: "job", Tenant: testTenant, Route: "lots", Body: []byte(`{"requests":[]}`)},
			{Operation: protocol.BatchRead, BatchJob: "job", Tenant: testTenant, Route: "lots", Start: 12, WaitMs: 1000},
			{Operation: protocol.BatchBody, BatchJob: "job", Tenant: testTenant, Route: "lots", Item: "item"},
			{Operation: protocol.BatchEnd, BatchJob: "job", Tenant: testTenant, Route: "lots"},
		})
		So(r.seen(), ShouldBeEmpty)
	})
	Convey("Batch jobs of a removed route can still be read and ended, but none is accepted", t, func() {
		r := startGateway(t, 1, good)
		r.batch.answer = protocol.BatchAnswer{Status: 200}
		r.changeConfiguration(func(d *configuration.Document) { d.Routes = nil })
		calls := map[string]string{"/lots/job?start-after=3": http.MethodGet, "/items/job?id=i": http.MethodGet, "/lots/job": http.MethodDelete}
		for path, method := range calls {
			So(r.ask(method, path, "X-Request-Id", "").status, ShouldEqual, 404)
		}
		r.control.members = &protocol.MemberList{Stores: protocol.StoreView{Members: make([]protocol.StoreMember, 3)}}
		for path, method := range calls {
			So(r.ask(method, path, "X-Request-Id", "").status, ShouldEqual, 200)
			So(r.ask(method, path, "Api-Key", "unknown").status, ShouldEqual, 401)
		}
		So(r.ask("POST", "/lots/abc").status, ShouldEqual, 404)
		So(r.batch.calls, ShouldHaveLength, 3)
		for _, call := range r.batch.calls {
			So(call.Tenant, ShouldEqual, testTenant)
			So(call.BatchJob, ShouldEqual, "job")
		}
	})
	Convey("Without a valid key lease calls for batch jobs are rejected", t, func() {
		r := startGateway(t, 1, good)
		r.control.leaseExpired.Store(true)
		So(r.ask("POST", "/lots/abc").status, ShouldEqual, 503)
		So(r.batch.calls, ShouldBeEmpty)
	})
}

func TestFirstConfiguration(t *testing.T) {
	Convey("A request that comes before the first configuration waits for it", t, func() {
		r := startGateway(t, 1, good)
		held := r.control.configuration.Swap(nil)
		r.control.onAwait = func() { r.control.configuration.Store(held) }
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 200)
	})
	Convey("A head that is longer than the configured limit is rejected", t, func() {
		r := startGateway(t, 1, good)
		document := testDocument()
		document.Limits.MaxHeaderBytes = 500
		r.control.configuration.Store(configuration.NewSnapshot(document, 2))
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 200)
		So(r.ask("POST", "/unsafe/x", "X-Long", strings.Repeat("x", 500)).status, ShouldEqual, 431)
	})
}

func TestLimits(t *testing.T) {
	Convey("A body within the limit is accepted to the last byte, chunked or not", t, func() {
		const most = 10000
		chunked := func(size int) string {
			text := strings.Repeat("b", size)
			return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 1, text[:1], size-1, text[1:])
		}
		for size, want := range map[int]int{1: 200, 4 << 10: 200, most - 1: 200, most: 200, most + 1: 413, 5 * most: 413} {
			r := startGateway(t, 1, good)
			So(r.askWith("POST", "/unsafe/x", strings.Repeat("b", size)).status, ShouldEqual, want)
			So(r.askWith("POST", "/unsafe/x", chunked(max(2, size)), "Content-Length", "", "Transfer-Encoding", "chunked").status,
				ShouldEqual, want)
			for _, seen := range r.seen() {
				So(len(seen.Text), ShouldBeIn, size, max(2, size))
			}
		}
	})
	Convey("A head as long as the limit is accepted; separators between names and values don't count", t, func() {
		r := startGateway(t, 1, good)
		const most = 16 << 10
		r.changeConfiguration(func(d *configuration.Document) { d.Limits.MaxHeaderBytes = most })
		for _, room := range []int{400, 300} {
			got := r.ask("POST", "/unsafe/x", "X-Long", strings.Repeat("x", most-room))
			So(got.status, ShouldEqual, 200)
		}
	})
}

func TestProcessPause(t *testing.T) {
	Convey("A request that was admitted before a process pause isn't sent on that admission", t, func() {
		control := &fakeControl{}
		q := &request{proxy: &Proxy{Control: control}, tenant: &configuration.Tenant{}, admittedAt: time.Now()}
		So(q.maySend(q.admittedAt.Add(admissionTTL-1)), ShouldBeTrue)
		So(q.maySend(q.admittedAt.Add(admissionTTL)), ShouldBeFalse)
		q.history.Idempotent = true
		q.history.Record(retry.Lost)
		So(q.maySend(q.admittedAt.Add(admissionTTL)), ShouldBeTrue)
		control.leaseExpired.Store(true)
		So(q.maySend(q.admittedAt), ShouldBeFalse)
	})
}

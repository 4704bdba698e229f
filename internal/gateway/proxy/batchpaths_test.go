package proxy

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// batchCalls are calls for an existing batch job: the method of each path.
var batchCalls = map[string]string{
	"/lots/job?start-after=3": http.MethodGet, "/items/job?id=i": http.MethodGet, "/lots/job": http.MethodDelete,
}

// startBesideBatchPaths starts a gateway whose only live route has a prefix, beside the batch route or, if removed is
// true, after the batch route was removed. The functions change the live route.
func startBesideBatchPaths(
	t *testing.T, prefix string, removed bool, changes ...func(*configuration.Route),
) *testGateway {
	r := startGateway(t, 1, good)
	r.control.members = &protocol.MemberList{Stores: protocol.StoreView{Members: make([]protocol.StoreMember, 3)}}
	r.changeConfiguration(func(d *configuration.Document) {
		routes := []configuration.Route{{Name: "everything", Hostname: "h.example", PathPrefix: prefix,
			Type: configuration.RouteSafe, TimeoutMs: 3000, Backend: "b", MaxAttempts: 2}}
		for _, change := range changes {
			change(&routes[0])
		}
		for _, route := range d.Routes {
			if route.Type == configuration.RouteBatch && !removed {
				route.PathPrefix = "/submissions/"
				routes = append(routes, route)
			}
		}
		d.Routes = routes
	})
	return r
}

// A route that is added after a batch job was accepted, with a prefix that covers the fixed paths of batch jobs and
// items, took the calls for it away, so that it could be neither read nor ended.
func TestRoutesLeaveBatchPathsAlone(t *testing.T) {
	for _, prefix := range []string{"/", "/lots/", "/items/"} {
		for _, removed := range []bool{false, true} {
			Convey("Calls for batch jobs reach a store whatever routes there are: "+prefix, t, func() {
				r := startBesideBatchPaths(t, prefix, removed)
				r.batch.answer = protocol.BatchAnswer{Status: 200}
				for path, method := range batchCalls {
					for _, id := range []string{"", "a-request"} {
						So(r.ask(method, path, "X-Request-Id", id).status, ShouldEqual, 200)
					}
				}
				So(r.batch.calls, ShouldHaveLength, 6)
				for _, call := range r.batch.calls {
					So(call.BatchJob, ShouldEqual, "job")
					So(call.Tenant, ShouldEqual, testTenant)
				}
				r.batch.answer = protocol.BatchAnswer{Status: 404}
				for path, method := range batchCalls {
					So(r.ask(method, path, "X-Request-Id", "").status, ShouldEqual, 404)
				}
				So(r.seen(), ShouldBeEmpty)
			})
		}
	}
}

// The other way round, the fixed paths take no live request away from a route that covers them.
func TestBatchPathsLeaveRoutesAlone(t *testing.T) {
	Convey("A live request whose path is like that of a batch job reaches a server, as there is no such batch job", t, func() {
		r := startBesideBatchPaths(t, "/", false)
		r.batch.answer = protocol.BatchAnswer{Status: 404}
		for path, method := range batchCalls {
			So(r.ask(method, path).status, ShouldEqual, 200)
		}
		So(r.seen(), ShouldHaveLength, len(batchCalls))
		So(r.batch.calls, ShouldHaveLength, len(batchCalls))
		So(r.ask(http.MethodGet, "/lots/job", "Api-Key", "unknown").status, ShouldEqual, 401)
		So(r.ask("POST", "/lots/job").status, ShouldEqual, 200)
		So(r.ask(http.MethodGet, "/lots/a/job").status, ShouldEqual, 200)
		So(r.ask(http.MethodGet, "/lots/").status, ShouldEqual, 200)
		So(r.batch.calls, ShouldHaveLength, len(batchCalls))
	})
	Convey("So does one on a public route without a key", t, func() {
		r := startBesideBatchPaths(t, "/", false, func(route *configuration.Route) { route.Public = true })
		So(r.ask(http.MethodGet, "/lots/job", "Api-Key", "").status, ShouldEqual, 200)
		So(r.seen(), ShouldHaveLength, 1)
		So(r.batch.calls, ShouldBeEmpty)
	})
	Convey("Where no store is known there are no batch jobs; before the first member list that isn't certain", t, func() {
		r := startBesideBatchPaths(t, "/", true)
		r.control.members = &protocol.MemberList{}
		So(r.ask(http.MethodGet, "/lots/job").status, ShouldEqual, 200)
		So(r.ask(http.MethodGet, "/lots/job", "X-Request-Id", "").status, ShouldEqual, 400)
		r.control.members = nil
		So(r.ask(http.MethodGet, "/lots/job", "X-Request-Id", "").status, ShouldEqual, 503)
		So(r.batch.calls, ShouldBeEmpty)
	})
}

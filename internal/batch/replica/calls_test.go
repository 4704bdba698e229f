package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// A batch job that was accepted before the configuration had tenants got 404 once tenants were added, as all later
// calls have a tenant.
func TestBatchJobsWithoutTenant(t *testing.T) {
	Convey("A batch job without a tenant is accessible to each tenant, one with a tenant to no other", t, func() {
		c := newCluster(3, 2, 1)
		call := func(operation protocol.BatchOperation, id, tenant string) int {
			items := []job.Item{{ID: "item", Path: "/p", Body: []byte("body")}}
			n := c.nodes[0]
			return n.callOwner(protocol.BatchCall{Operation: operation, BatchJob: id, Tenant: tenant, Route: "r", Item: "item"}, items).Status
		}
		So(call(protocol.BatchSubmit, "open", ""), ShouldEqual, 202)
		So(call(protocol.BatchSubmit, "owned", "t"), ShouldEqual, 202)
		for _, tenant := range []string{"", "t", "u"} {
			So(call(protocol.BatchRead, "open", tenant), ShouldEqual, 200)
			So(call(protocol.BatchBody, "open", tenant), ShouldEqual, 200)
			So(call(protocol.BatchSubmit, "open", tenant), ShouldEqual, 202)
			if tenant != "t" {
				So(call(protocol.BatchRead, "owned", tenant), ShouldEqual, 404)
				So(call(protocol.BatchEnd, "owned", tenant), ShouldEqual, 404)
			}
		}
		So(call(protocol.BatchEnd, "open", "t"), ShouldEqual, 200)
	})
}

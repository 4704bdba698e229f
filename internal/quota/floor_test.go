package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

func TestFloors(t *testing.T) {
	Convey("Given an allocator that starts with a recorded floor of 20 tokens", t, func() {
		floors := []Floor{{Tenant: "a", Tokens: 20}}
		a := NewAllocator(AllocatorOptions{Rules: testRules})
		a.ConfigureTenants(tenantWithLimit("a", 100))
		a.Start(0, 0, []string{}, floors)
		a.Request(4*second, protocol.QuotaRequest{Sequence: 1, Process: protocol.Process{Node: "n", Incarnation: "1"}})
		q := a.tenants["a"]

		Convey("after a limit is lowered, the tokens up to the floor stay in the pool and can't be granted", func() {
			a.ConfigureTenants(tenantWithLimit("a", 1))
			So(q.poolDepth(), ShouldBeLessThan, 20*token)
			So(q.pool.level, ShouldEqual, 20*token)
			So(q.grantable(), ShouldEqual, 0)
			Convey("until the floor has been lowered in the record", func() {
				lowered := a.FloorChanges(4 * second)
				So(lowered, ShouldHaveLength, 1)
				a.FloorsRecorded(lowered)
				a.refill(q)
				So(q.pool.level, ShouldEqual, q.poolDepth())
				So(q.grantable(), ShouldBeGreaterThan, 0)
			})
			Convey("and the pool isn't below its floor after the limit is raised again", func() {
				a.ConfigureTenants(tenantWithLimit("a", 100))
				So(q.pool.level, ShouldBeGreaterThanOrEqualTo, q.floor.recorded)
			})
		})
		Convey("no floor is raised above the level of a pool whose depth is all leased", func() {
			a.ConfigureTenants(tenantWithLimit("a", 100))
			a.FloorsRecorded([]Floor{{Tenant: "a"}})
			q.pool.level, q.outstanding = 0, lease{q.budget.rate, q.budget.depth}
			So(q.poolDepth(), ShouldEqual, 0)
			So(a.FloorChanges(20*second), ShouldBeEmpty)
		})
		Convey("a tenant that is removed and added again still has its recorded floor", func() {
			a.ConfigureTenants(nil)
			a.now += 2 * tombstoneTTL
			a.ConfigureTenants(nil)
			So(a.tenants, ShouldBeEmpty)
			a.ConfigureTenants(tenantWithLimit("a", 100))
			So(a.tenants["a"].floor.recorded, ShouldEqual, 20*token)
		})
	})
}

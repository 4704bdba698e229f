package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

func TestFloors(t *testing.T) {
	Convey("Given an allocator whose predecessor left a floor of 20 tokens on record", t, func() {
		floors := []Floor{{Tenant: "a", Tokens: 20}}
		a := NewAllocator(AllocatorOptions{Rules: testRules})
		a.ConfigureTenants(tenantWithLimit("a", 100))
		a.Start(0, 0, []string{}, floors)
		a.Request(4*second, protocol.QuotaRequest{Sequence: 1, Process: protocol.Process{Node: "n", Incarnation: "1"}})
		q := a.tenants["a"]

		Convey("a lowered limit leaves what lies up to the floor, and grants none of it", func() {
			a.ConfigureTenants(tenantWithLimit("a", 1))
			So(q.poolDepth(), ShouldBeLessThan, 20*token)
			So(q.pool.level, ShouldEqual, 20*token)
			So(q.grantable(), ShouldEqual, 0)
			Convey("until the floor has been lowered on record", func() {
				lowered := a.FloorChanges(4 * second)
				So(lowered, ShouldHaveLength, 1)
				a.FloorsRecorded(lowered)
				a.refill(q)
				So(q.pool.level, ShouldEqual, q.poolDepth())
				So(q.grantable(), ShouldBeGreaterThan, 0)
			})
			Convey("also where it is raised again", func() {
				a.ConfigureTenants(tenantWithLimit("a", 100))
				So(q.pool.level, ShouldBeGreaterThanOrEqualTo, q.floor.recorded)
			})
		})
		Convey("no floor is raised above what is in a pool that has lost its depth", func() {
			a.ConfigureTenants(tenantWithLimit("a", 100))
			a.FloorsRecorded([]Floor{{Tenant: "a"}})
			q.pool.level, q.outstanding = 0, lease{q.budget.rate, q.budget.depth}
			So(q.poolDepth(), ShouldEqual, 0)
			So(a.FloorChanges(20*second), ShouldBeEmpty)
		})
		Convey("a tenant that was forgotten and comes back has its floor still", func() {
			a.ConfigureTenants(nil)
			a.now += 2 * tombstoneTTL
			a.ConfigureTenants(nil)
			So(a.tenants, ShouldBeEmpty)
			a.ConfigureTenants(tenantWithLimit("a", 100))
			So(a.tenants["a"].floor.recorded, ShouldEqual, 20*token)
		})
	})
}

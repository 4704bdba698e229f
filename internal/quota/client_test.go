package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

func tenantWithLimit(name string, rate float64) []configuration.Tenant {
	return []configuration.Tenant{{Name: name, RatePerSec: rate, Burst: rate}}
}

func TestReturn(t *testing.T) {
	Convey("Given a gateway with a lease that has been spent", t, func() {
		tenant := &tenantWithLimit("a", 10)[0]
		c := NewClient(ClientOptions{Process: protocol.Process{Node: "n", Incarnation: "1"}})
		c.Take(0, tenant)
		request, due := c.NextRequest(0)
		So(due, ShouldBeTrue)
		c.HandleReply(millisecond, &protocol.QuotaReply{Sequence: request.Sequence, Term: 1, LeaseFor: leaseTTL,
			Grants: []protocol.QuotaGrant{{Tenant: "a", Change: true, Lease: protocol.QuotaLease{Rate: 1, Depth: 2}}}})
		So(c.Resolve(second+2*millisecond, tenant).Admit, ShouldBeTrue)
		So(c.tenants["a"].leaseBucket.level, ShouldBeLessThan, token)

		Convey("a token that was taken a moment ago goes back into the lease", func() {
			c.Return(second+10*millisecond, second+2*millisecond, tenant)
			So(c.tenants["a"].leaseBucket.level, ShouldBeGreaterThan, token)
		})
		Convey("a token that was taken longer ago than a token's lifetime is discarded", func() {
			before := c.tenants["a"].leaseBucket.level
			c.Return(second+300*millisecond, second+2*millisecond, tenant)
			So(c.tenants["a"].leaseBucket.level, ShouldEqual, before)
		})
	})
}

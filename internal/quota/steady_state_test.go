package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// start schedules the first leader, the traffic and the checks.
func (sim *simulation) start() {
	sim.elect(0, 0, takeOverDelay)
	for name := range sortedNames(sim.usualRate) {
		sim.schedule(5*second, func() { sim.generateTraffic(name) })
	}
	sim.every(100*millisecond, sim.checkOutstanding)
	sim.every(200*millisecond, sim.maintainGrantees)
	sim.every(100*millisecond, sim.updateEffectiveLimits)
}

// rejectedShare returns the share of the tenants' expected requests that were rejected, and the number of expected
// requests.
func (sim *simulation) rejectedShare(names ...string) (share float64, expected int) {
	rejected := 0
	for _, name := range names {
		rejected += sim.counts[name].expectedRejected
		expected += sim.counts[name].expected
	}
	return float64(rejected) / float64(max(1, expected)), expected
}

// TestSteadyState measures, without faults, the rejections of tenants within their limits while one tenant sends
// several times its limit.
func TestSteadyState(t *testing.T) {
	Convey("Without faults hardly any request within a limit is rejected while another tenant overloads", t, func() {
		for _, gateways := range []int{3, 11, 40} {
			sim := newSimulation(uint64(gateways), gateways, typicalTenants())
			sim.overload["tenant-1"] = 8
			sim.start()
			sim.runUntil(65 * second)
			withinLimits := []string{"tenant-0", "tenant-2", "tenant-3", "tenant-4", "tenant-5", "tenant-6", "tenant-7"}
			share, expected := sim.rejectedShare(withinLimits...)
			overloading := sim.counts["tenant-1"]
			t.Logf("%d gateways: %d requests within limits, %.5f rejected; overloading tenant: %d of %d served, limit 48/s; "+
				"fullest window %.3f of the bound (%s); %.1f messages a second a gateway, %.1f demands each",
				gateways, expected, share, overloading.served, overloading.offered, sim.checker.worst, sim.checker.worstAt,
				float64(sim.messages)/65/float64(gateways), float64(sim.demands)/float64(sim.messages))
			So(share, ShouldBeLessThan, 0.005)
			So(float64(overloading.served), ShouldBeGreaterThan, 0.95*48*60)
		}
	})
}

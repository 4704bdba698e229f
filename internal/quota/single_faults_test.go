package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSingleFaults measures, for single faults, the share of requests within limits that are rejected over the twelve
// seconds from the beginning of the fault.
func TestSingleFaults(t *testing.T) {
	faults := []struct {
		name  string
		run   func(sim *simulation)
		allow float64
	}{
		{"none", func(*simulation) {}, 0.005},
		{"the allocator's machine dies", func(sim *simulation) { sim.failOver(0) }, 0.08},
		{"the allocator's machine pauses and resumes", func(sim *simulation) { sim.failOver(3 * second) }, 0.08},
		{"a gateway restarts", func(sim *simulation) { sim.gateways[0].crash(second) }, 0.005},
		{"a gateway pauses for 3 s", func(sim *simulation) { sim.gateways[1].pause(3 * second) }, 0.01},
		{"a gateway is added", func(sim *simulation) { sim.addGateway() }, 0.005},
		{"six of eleven gateways restart", func(sim *simulation) {
			for _, g := range sim.gateways[:6] {
				g.crash(second)
			}
		}, 0.01},
		{"the allocator's machine dies and all gateways restart", func(sim *simulation) {
			sim.failOver(0)
			for _, g := range sim.gateways {
				g.crash(1500 * millisecond)
			}
		}, 0.04},
	}
	Convey("A single fault causes few rejections of requests within limits", t, func() {
		for _, fault := range faults {
			rejected, expected := 0, 0
			for seed := range uint64(6) {
				sim := newSimulation(seed+1, 11, typicalTenants())
				sim.start()
				sim.runUntil(20 * second)
				for _, count := range sim.counts {
					*count = requestCounts{}
				}
				for _, g := range sim.gateways {
					g.connectedSince = 0
				}
				fault.run(sim)
				for _, g := range sim.gateways {
					g.connectedSince = 0
				}
				sim.runUntil(32 * second)
				for _, count := range sim.counts {
					rejected += count.expectedRejected
					expected += count.expected
				}
			}
			share := float64(rejected) / float64(expected)
			t.Logf("%s: %.4f of %d rejected", fault.name, share, expected)
			So(share, ShouldBeLessThan, fault.allow)
		}
	})
}

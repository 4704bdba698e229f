package quota

import (
	"flag"
	"fmt"
	"math"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
)

var measureSizes = flag.Bool("size", false, "measure the allocator at several sizes")

// TestAtSize measures the cost of quotas for systems up to the operators' largest size.
func TestAtSize(t *testing.T) {
	if !*measureSizes {
		t.Skip("a measurement: run with -args -size")
	}
	Convey("Cost of the allocator and of a gateway at several sizes", t, func() {
		for _, system := range []struct {
			gateways, tenants int
			perSecond         float64
		}{{14, 8, 190}, {62, 76, 520}, {130, 1000, 5000}, {400, 10000, 33000}} {
			const seconds = 12
			sim := newSimulation(1, system.gateways, spreadTenants(system.tenants, system.perSecond))
			sim.windowsOnly, sim.maxWait = true, 100*millisecond // at most a fifth of the latency targets at these sizes
			sim.elect(0, 0, takeOverDelay)
			for name := range sortedNames(sim.usualRate) {
				sim.schedule(5*second, func() { sim.generateTraffic(name) })
			}
			sim.runUntil(7 * second)
			messages, demands, spent := sim.messages, sim.demands, sim.allocatorTime
			for _, count := range sim.counts {
				*count = requestCounts{}
			}
			sim.runUntil((7 + seconds) * second)
			allocations, memory := sim.controls[0].allocator.footprint()
			share, expected := sim.rejectedShare(names(sim)...)
			n := float64(sim.messages - messages)
			t.Logf("%d gateways, %d tenants, %.0f requests/s: %.1f messages a second a gateway, %.1f demands each; "+
				"allocator %.0f messages/s, %.4f of a core, %d allocations, %.1f MB; %.5f of %d rejected",
				system.gateways, system.tenants, system.perSecond, n/seconds/float64(system.gateways), float64(sim.demands-demands)/n,
				n/seconds, (sim.allocatorTime-spent).Seconds()/seconds, allocations, memory, share, expected)
		}
		So(true, ShouldBeTrue)
	})
}

func names(sim *simulation) (list []string) {
	for name := range sortedNames(sim.usualRate) {
		list = append(list, name)
	}
	return list
}

// spreadTenants returns n tenants; the rate of tenant i is proportional to 1/(i+3), about as in production.
func spreadTenants(n int, perSecond float64) []configuration.Tenant {
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+3)
	}
	list := make([]configuration.Tenant, n)
	for i := range list {
		rate := math.Max(0.05, 1.6*perSecond/sum/float64(i+3))
		list[i] = configuration.Tenant{Name: fmt.Sprintf("tenant-%d", i), RatePerSec: rate, Burst: rate}
	}
	return list
}

// footprint returns the number of allocations, and the heap of the whole test in MB as an upper bound of their size.
func (a *Allocator) footprint() (allocations int, megabytes float64) {
	for _, holder := range a.holders {
		allocations += len(holder.ordered)
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return allocations, float64(stats.HeapAlloc) / (1 << 20)
}

package admission

import (
	"fmt"
	"slices"
	"time"
)

// roundingTolerance is the greatest rounding error of sums of shares.
const roundingTolerance = 1e-9

// GroupReport is the state of a group as shown to operators.
type GroupReport struct {
	Route        string
	Priority     float64       // v
	Requests     float64       // q, per second
	Latency      float64       // r, seconds per second
	Score        float64       // f
	Percentile90 time.Duration // latency of the recent attempts, rounded up to a bucket of the histogram
	Shed         []float64     // share shed by tenant priority, the most urgent first
	Rejections   uint64        // since the route was configured
}

// Report returns the state of each group.
func (a *Admission) Report() []GroupReport {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	list := make([]GroupReport, 0, len(a.order))
	for _, g := range a.order {
		sum := g.recent()
		list = append(list, GroupReport{
			Route: g.name, Priority: g.priority, Requests: g.requests, Latency: g.latency, Score: g.score,
			Percentile90: sum.percentile90(), Shed: slices.Clone(g.effectiveShed), Rejections: g.rejections,
		})
	}
	return list
}

// checkInvariants panics if the shed share of a tenant priority is out of bounds, or is smaller than that of more
// urgent tenants of the same group. Either is a bug in this package.
func (a *Admission) checkInvariants() {
	for _, g := range a.order {
		for class, share := range g.effectiveShed {
			if share < 0 || share > maxShed+roundingTolerance {
				panic(fmt.Sprintf("admission: group %s sheds a share of %v, which is not between 0 and maxShed", g.name, share))
			}
			if class > 0 && share < g.effectiveShed[class-1]-roundingTolerance {
				panic(fmt.Sprintf("admission: group %s sheds a larger share of more urgent tenants than of less urgent ones: %v",
					g.name, g.effectiveShed))
			}
		}
	}
}

package admission

import (
	"fmt"
	"slices"
	"time"
)

// roundingSlack is the rounding error that sums of shares may have.
const roundingSlack = 1e-9

// GroupReport is the state of a group, for operators.
type GroupReport struct {
	Route        string
	Priority     float64       // v
	Requests     float64       // q, per second
	Latency      float64       // r, seconds per second
	Score        float64       // f
	Percentile90 time.Duration // of the recent attempts
	Shed         []float64     // share by tenant priority, the most urgent first
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

// checkInvariants panics if a share is out of bounds, or is larger for more urgent tenants of a group: either
// is a bug of this package.
func (a *Admission) checkInvariants() {
	for _, g := range a.order {
		for class, share := range g.effectiveShed {
			if share < 0 || share > maxShed+roundingSlack {
				panic(fmt.Sprintf("admission: group %s sheds a share of %v", g.name, share))
			}
			if class > 0 && share < g.effectiveShed[class-1]-roundingSlack {
				panic(fmt.Sprintf("admission: group %s sheds more of the more urgent tenants: %v", g.name,
					g.effectiveShed))
			}
		}
	}
}

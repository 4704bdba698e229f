package admission

import (
	"fmt"
	"slices"
	"time"
)

// slack is the rounding that sums of shares may carry.
const roundingSlack = 1e-9

// GroupReport is what an operator sees of a group.
type GroupReport struct {
	Route        string
	Priority     float64       // v
	Requests     float64       // q, a second
	Latency      float64       // r, seconds a second
	Score        float64       // f
	Percentile90 time.Duration // of the recent attempts
	Shed         []float64     // share by tenant priority, the most urgent first
	Rejections   uint64        // since the route is known
}

// Report tells each group's state.
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

// checkInvariants panics where a share is out of bounds, or grows with the urgency within a group: both are faults of this
// package.
func (a *Admission) checkInvariants() {
	for _, g := range a.order {
		for class, share := range g.effectiveShed {
			if share < 0 || share > maxShed+roundingSlack {
				panic(fmt.Sprintf("admission: group %s refuses a share of %v", g.name, share))
			}
			if class > 0 && share < g.effectiveShed[class-1]-roundingSlack {
				panic(fmt.Sprintf("admission: group %s refuses more of the more urgent tenants: %v", g.name, g.effectiveShed))
			}
		}
	}
}

package proxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"sprucelane.example/sprucelane/internal/configuration"
)

// Which backend of a traffic split does a request go to?

// goldenRatioStep is the step of an additive recurrence whose points fill the unit interval as evenly as possible at
// any length (Weyl's sequence of the golden ratio). Independent draws would miss a share by several hundredths in
// some hundred requests; this misses it by about one request.
const goldenRatioStep = math.Phi - 1

// trafficSplits holds the position in the sequence of each route that splits its traffic. The zero value is ready.
type trafficSplits struct {
	positions sync.Map // of *trafficPosition, by the route's name; at most as many as routes were ever configured
}

// trafficPosition is where a route's sequence is. Each gateway begins at a point of its own, so that their remainders
// even out.
type trafficPosition struct {
	start float64
	count atomic.Uint64
}

// next returns the next point of a route's sequence, in [0, 1).
func (t *trafficSplits) next(route string) float64 {
	found, known := t.positions.Load(route)
	if !known {
		found, _ = t.positions.LoadOrStore(route, &trafficPosition{start: rand.Float64()})
	}
	position := found.(*trafficPosition)
	_, point := math.Modf(position.start + float64(position.count.Add(1)%(1<<40))*goldenRatioStep)
	return point
}

// splitBackend returns the backend at a point in [0, 1) of a route's traffic split: each takes a part of the
// interval by its weight.
func splitBackend(route *configuration.Route, point float64) string {
	sum := 0.0
	for _, split := range route.TrafficSplit {
		sum += max(split.Weight, 0)
	}
	name := route.Backend
	left := point * sum
	for _, split := range route.TrafficSplit {
		if split.Weight <= 0 {
			continue
		}
		name = split.Backend
		if left -= split.Weight; left < 0 {
			break
		}
	}
	return name
}

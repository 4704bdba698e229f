package proxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"sprucelane.example/sprucelane/internal/configuration"
)

// This file selects the backend for each request of a route with a traffic split.

// goldenRatioStep is the step of an additive recurrence (the Weyl sequence of the golden ratio) whose points are
// spread over the unit interval as evenly as possible after any number of steps. With independent random draws
// a backend's share would be off by several hundredths after some hundred requests; with this sequence it is
// off by about one request.
const goldenRatioStep = math.Phi - 1

// trafficSplits holds the position in the sequence of each route with a traffic split. The zero value is ready
// to use.
type trafficSplits struct {
	positions sync.Map // *trafficPosition by route name; has at most as many entries as routes were ever configured
}

// trafficPosition is the position in a route's sequence. Each gateway starts at a random point, so that the
// gateways' deviations from the shares even out.
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

// splitBackend returns the backend for a point in [0, 1). Each backend of the route's traffic split has a part
// of that interval in proportion to its weight.
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

package policy

import (
	"math"
	"time"
)

// How many attempts may this gateway have in flight, at a server and in all? Read after overload.go.

// The constants of servers' capacities, in attempts. Those that don't say otherwise are over all gateways.
const (
	slowTargetShare       = 0.65 // of its class's target: an attempt that takes longer shrinks the capacity
	initialCapacity       = 4.0  // of a server
	initialCapacityGrowth = 3.0  // times as fast a capacity grows until the first slow attempt
	minCapacity           = 2.0  // of a server
	minInitialInFlight    = 2.0  // of one gateway, over all servers: the initial capacities allow at least so many
)

// totalCapacity bounds the attempts in flight, so that no server's queue grows past what the targets allow.
func (g *Gateway) totalCapacity() float64 {
	capacity := 0.0
	for _, s := range g.servers {
		if s.listed {
			capacity += g.capacityOf(s)
		}
	}
	return capacity
}

// capacityOf gives a server's capacity, in attempts of this gateway, which it initialises.
func (g *Gateway) capacityOf(s *server) float64 {
	if s.capacity == 0 {
		s.capacity = math.Max(initialCapacity/float64(g.cfg.Gateways),
			minInitialInFlight/math.Max(float64(g.listedServers()), 1))
	}
	s.capacity = math.Max(s.capacity, math.Max(minCapacity, g.serverConcurrency)/float64(g.cfg.Gateways))
	if s.suspectedAttempts > 0 { // one attempt finds out whether the server answers at all
		return math.Min(1, s.capacity)
	}
	return s.capacity
}

// learnCapacity adapts the capacity of an attempt's server so that its 90th percentile stays below slowTargetShare of
// the target: a slow attempt takes back what nine others have added. Where a server's capacity is below one attempt
// its attempts are too few to judge by, and those of all servers change with it. A capacity that isn't used doesn't
// grow.
func (g *Gateway) learnCapacity(a *attempt, took time.Duration) {
	if a.countedSlow {
		return
	}
	a.countedSlow = took.Seconds() > slowTargetShare*g.cfg.Classes[a.request.Class].LatencyTarget.Seconds()
	own, all := g.capacityOf(a.server), g.totalCapacity()
	if half := g.load()+1 <= all/2; half && (!a.countedSlow || all > 2*minInitialInFlight) ||
		!a.countedSlow && a.server.load()+1 <= own/2 {
		return
	}
	step := lateShare
	if a.countedSlow {
		step, g.slowAnswerSeen = step-1, true
	} else if !g.slowAnswerSeen { // nothing says yet that the initial capacity is enough
		step *= initialCapacityGrowth
	}
	part := math.Min(1, own)
	a.server.capacity += step * part
	for _, s := range g.servers {
		s.capacity += step * (1 - part) * g.capacityOf(s) / math.Max(all, 1e-9)
	}
}

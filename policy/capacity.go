package policy

import (
	"math"
	"time"
)

// The limits on this gateway's attempts in flight, at each server and in total.

// Capacities are in attempts, and over all gateways unless noted otherwise.
const (
	slowTargetShare       = 0.65 // share of its class's target beyond which an attempt shrinks the capacity
	initialCapacity       = 4.0  // of a server
	initialCapacityGrowth = 3.0  // factor on the growth of capacities until the first slow attempt
	minCapacity           = 2.0  // of a server
	minInitialInFlight    = 2.0  // least sum of the initial capacities of all servers, for one gateway
)

// totalCapacity returns the sum of the listed servers' capacities, in attempts of this gateway. It limits the
// attempts in flight, so that no server's queue grows beyond what the latency targets allow.
func (g *Gateway) totalCapacity() float64 {
	capacity := 0.0
	for _, s := range g.servers {
		if s.listed {
			capacity += g.capacityOf(s)
		}
	}
	return capacity
}

// capacityOf returns a server's capacity, in attempts of this gateway, and initialises it if it isn't known yet.
func (g *Gateway) capacityOf(s *server) float64 {
	if s.capacity == 0 {
		s.capacity = math.Max(initialCapacity/float64(g.cfg.Gateways),
			minInitialInFlight/math.Max(float64(g.listedServers()), 1))
	}
	s.capacity = math.Max(s.capacity, math.Max(minCapacity, g.serverConcurrency)/float64(g.cfg.Gateways))
	if s.suspectedAttempts > 0 { // one attempt is enough to find out whether the server answers at all
		return math.Min(1, s.capacity)
	}
	return s.capacity
}

// learnCapacity adapts the capacity of an attempt's server so that the server's 90th percentile latency stays below
// slowTargetShare of the target: a slow attempt undoes the growth of nine others. If a server's capacity is below one
// attempt, it has too few attempts to judge by, so part of the change is spread over the capacities of all servers. A
// capacity that isn't used doesn't grow.
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
	} else if !g.slowAnswerSeen { // nothing indicates yet that the initial capacity is all that servers can do
		step *= initialCapacityGrowth
	}
	part := math.Min(1, own)
	a.server.capacity += step * part
	for _, s := range g.servers {
		s.capacity += step * (1 - part) * g.capacityOf(s) / math.Max(all, 1e-9)
	}
}

package policy

import (
	"errors"
	"fmt"
	"time"
)

// The checks of settings, and values derived from settings alone.

// Validate returns an error that names the first invalid setting, or nil if all are valid.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: classes: none given")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: classes[%d].deadline: must be above 0", i)
		}
		if c.LatencyTarget <= 0 {
			return fmt.Errorf("settings: classes[%d].aim: must be above 0", i)
		}
		if !(c.Value >= 0) { // also catches NaN
			return fmt.Errorf("settings: classes[%d].worth: must not be negative", i)
		}
	}
	if len(s.Plans) == 0 {
		return errors.New("settings: plans: none given")
	}
	for i, p := range s.Plans {
		if !(p.Rate >= 0) || !(p.Burst >= 0) || p.MaxInFlight < 0 {
			return fmt.Errorf("settings: plans[%d].rate, burst, open: must not be negative", i)
		}
		if !(p.HardLimitRate >= 0) || !(p.HardLimitBurst >= 0) {
			return fmt.Errorf("settings: plans[%d].ceiling: must not be negative", i)
		}
		if !(p.ValueMultiplier >= 0) {
			return fmt.Errorf("settings: plans[%d].price: must not be negative", i)
		}
	}
	if s.Gateways < 1 || s.Self < 0 || s.Self >= s.Gateways {
		return errors.New("settings: gateways: must be 1 or more and hold this one's number")
	}
	return nil
}

// shortestTarget returns Settings.ShortestTarget.
func (g *Gateway) shortestTarget() time.Duration { return g.cfg.ShortestTarget() }

// ShortestTarget returns the shortest latency target of all classes. The intervals of a gateway's checks and the time
// constants of its measurements are derived from it.
func (s Settings) ShortestTarget() time.Duration {
	shortest := s.Classes[0].LatencyTarget
	for _, c := range s.Classes {
		shortest = min(shortest, c.LatencyTarget)
	}
	return shortest
}

// NearbyPeers returns the gateways near this one, or none if there are no messages between gateways.
func (s Settings) NearbyPeers() []int {
	if !s.Peers {
		return nil
	}
	return NearbyGateways(s.Self, s.Gateways)
}

// NearbyGateways returns the gateways up to nearbyDistance places to either side of self, in the circle of gateway
// numbers. Gateways that may share a customer's token bucket are near each other.
func NearbyGateways(self, gateways int) (nearby []int) {
	for k := 1; k < gateways; k++ {
		if k <= nearbyDistance || k >= gateways-nearbyDistance {
			nearby = append(nearby, (self+k)%gateways)
		}
	}
	return nearby
}

// demandTimeConstant returns the time constant with which a customer's demand decays: the time that the quota's rate
// takes to fill its burst, but at least recentWindow.
func (g *Gateway) demandTimeConstant(plan int) time.Duration {
	p := g.cfg.Plans[plan]
	if p.Rate <= 0 {
		return recentWindow
	}
	return max(recentWindow, time.Duration(p.Burst/p.Rate*float64(time.Second)))
}

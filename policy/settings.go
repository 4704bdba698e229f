package policy

import (
	"errors"
	"fmt"
	"time"
)

// The settings: their check, and what follows from them alone. Nothing here chooses.

// Check tells what is wrong with the settings, by key.
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
		if !(c.Value >= 0) {
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

func (g *Gateway) shortestTarget() time.Duration { return g.cfg.ShortestTarget() }

// ShortAim gives the shortest aim of all classes: the pace at which a gateway judges.
func (s Settings) ShortestTarget() time.Duration {
	aim := s.Classes[0].LatencyTarget
	for _, c := range s.Classes {
		aim = min(aim, c.LatencyTarget)
	}
	return aim
}

// NearBy gives the gateways near this one, where there is a way to them.
func (s Settings) NearbyPeers() []int {
	if !s.Peers {
		return nil
	}
	return NearbyGateways(s.Self, s.Gateways)
}

// Near gives the gateways that stand up to tellPeers places to either side of one: they share stores with it.
func NearbyGateways(me, gateways int) (near []int) {
	for k := 1; k < gateways; k++ {
		if k <= nearbyDistance || k >= gateways-nearbyDistance {
			near = append(near, (me+k)%gateways)
		}
	}
	return near
}

// memory is how long demand counts: as long as the burst lasts at the quota's rate, a second at least.
func (g *Gateway) demandMemory(plan int) time.Duration {
	p := g.cfg.Plans[plan]
	if p.Rate <= 0 {
		return recentWindow
	}
	return max(recentWindow, time.Duration(p.Burst/p.Rate*float64(time.Second)))
}

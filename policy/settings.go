package policy

import (
	"errors"
	"fmt"
	"time"
)

// The settings: their check, and what follows from them alone. Nothing here chooses.

// Check tells what is wrong with the settings, by key.
func (s Settings) Check() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: classes: none given")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: classes[%d].deadline: must be above 0", i)
		}
		if c.Aim <= 0 {
			return fmt.Errorf("settings: classes[%d].aim: must be above 0", i)
		}
		if !(c.Worth >= 0) {
			return fmt.Errorf("settings: classes[%d].worth: must not be negative", i)
		}
	}
	if len(s.Plans) == 0 {
		return errors.New("settings: plans: none given")
	}
	for i, p := range s.Plans {
		if !(p.Rate >= 0) || !(p.Burst >= 0) || p.Open < 0 {
			return fmt.Errorf("settings: plans[%d].rate, burst, open: must not be negative", i)
		}
		if !(p.CeilingRate >= 0) || !(p.CeilingBurst >= 0) {
			return fmt.Errorf("settings: plans[%d].ceiling: must not be negative", i)
		}
		if !(p.Price >= 0) {
			return fmt.Errorf("settings: plans[%d].price: must not be negative", i)
		}
	}
	if s.Gateways < 1 || s.Me < 0 || s.Me >= s.Gateways {
		return errors.New("settings: gateways: must be 1 or more and hold this one's number")
	}
	return nil
}

func (g *Gateway) shortAim() time.Duration { return g.set.ShortAim() }

// ShortAim gives the shortest aim of all classes: the pace at which a gateway judges.
func (s Settings) ShortAim() time.Duration {
	aim := s.Classes[0].Aim
	for _, c := range s.Classes {
		aim = min(aim, c.Aim)
	}
	return aim
}

// NearBy gives the gateways near this one, where there is a way to them.
func (s Settings) NearBy() []int {
	if !s.Peers {
		return nil
	}
	return Near(s.Me, s.Gateways)
}

// Near gives the gateways that stand up to tellPeers places to either side of one: they share stores with it.
func Near(me, gateways int) (near []int) {
	for k := 1; k < gateways; k++ {
		if k <= tellPeers || k >= gateways-tellPeers {
			near = append(near, (me+k)%gateways)
		}
	}
	return near
}

// memory is how long demand counts: as long as the burst lasts at the quota's rate, a second at least.
func (g *Gateway) memory(plan int) time.Duration {
	p := g.set.Plans[plan]
	if p.Rate <= 0 {
		return judgedOver
	}
	return max(judgedOver, time.Duration(p.Burst/p.Rate*float64(time.Second)))
}

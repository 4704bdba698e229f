package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file reduces a failing scenario to what it needs to fail. The result always fails, because a step is kept only
// if the scenario still fails after it.

// Minimise removes whatever a scenario doesn't need to fail: faults, randomness, rooms, gateways, members, length. It
// calls fails at most tries times, and returns the smallest scenario found that still fails (delta debugging: Zeller
// and Hildebrandt, TSE 2002, here greedily and with halving).
func Minimise(s Scenario, tries int, fails func(Scenario) bool) Scenario {
	halve := func(n *int, least int) bool {
		was := *n
		*n = max(least, *n/2)
		return *n < was
	}
	zero := func(f *float64) bool {
		was := *f
		*f = 0
		return was != 0
	}
	least := 1
	for _, n := range s.Spread {
		least = max(least, n) // a set with fewer gateways would be another deployment
	}
	steps := []func(*Scenario) bool{
		func(s *Scenario) bool {
			for _, t := range s.Faults {
				if s.Length > t.At+t.For+2*time.Second {
					continue
				}
				return false
			}
			was := s.Length
			s.Length = max(time.Second, s.Length/2)
			return s.Length < was
		},
		func(s *Scenario) bool { return halve(&s.Gateways, least) },
		func(s *Scenario) bool { return halve(&s.Members, 1) },
		func(s *Scenario) bool { return s.Plans == nil && halve(&s.Accounts, 1) },
		func(s *Scenario) bool { return halve(&s.Rooms, 1) },
		func(s *Scenario) bool { return halve(&s.Cells, 1) },
		func(s *Scenario) bool { return halve(&s.Retries, 0) },
		func(s *Scenario) bool { return zero(&s.Loss) },
		func(s *Scenario) bool { return zero(&s.HotShare) },
		func(s *Scenario) bool { return zero(&s.OneTimeShare) },
		func(s *Scenario) bool { return zero(&s.EstimateCV) },
		func(s *Scenario) bool { return zero(&s.SlowShare) },
	}
	for again := true; again && tries > 0; {
		again = false
		for i := len(s.Faults) - 1; i >= 0 && tries > 0; i-- {
			next := s
			next.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
			if tries--; fails(next) {
				s, again = next, true
			}
		}
		for _, step := range steps {
			next := s
			if tries <= 0 || !step(&next) {
				continue
			}
			if tries--; fails(next) {
				s, again = next, true
			}
		}
	}
	return s
}

// Brief describes a scenario in one line.
func (s Scenario) Brief() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "seed=%d gateways=%d members=%d rooms=%d cells=%d load=%.2f accounts=%d classes=%d plans=%d hot=%.2f "+
		"once=%.2f loss=%.2f guess_cv=%.2f retries=%d length=%v",
		s.Seed, s.Gateways, s.Members, s.Rooms, s.Cells, s.Load, s.Accounts, len(s.Settings.Classes), len(s.Settings.Plans),
		s.HotShare, s.OneTimeShare, s.Loss, s.EstimateCV, s.Retries, s.Length)
	for _, t := range s.Faults {
		fmt.Fprintf(b, " trouble=%s:%v:%v:%.2f",
			t.Kind, t.At.Round(time.Millisecond), t.For.Round(time.Millisecond), t.Share)
	}
	return b.String()
}

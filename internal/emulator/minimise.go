package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file owns how a scenario that fails is made smaller: what is left is what it takes to fail. It must never give back
// one that doesn't fail.

// Minimise leaves out whatever a scenario fails without: troubles, chance, rooms, gateways, members, length. It tries so many
// scenarios at most, and gives back the smallest that still fails.
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
		least = max(least, n) // a smaller fleet would be another deployment
	}
	steps := []func(*Scenario) bool{
		func(s *Scenario) bool {
			for _, t := range s.Troubles {
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
		func(s *Scenario) bool { return zero(&s.Hot) },
		func(s *Scenario) bool { return zero(&s.Once) },
		func(s *Scenario) bool { return zero(&s.GuessCV) },
		func(s *Scenario) bool { return zero(&s.SlowPart) },
	}
	for again := true; again && tries > 0; {
		again = false
		for i := len(s.Troubles) - 1; i >= 0 && tries > 0; i-- {
			next := s
			next.Troubles = slices.Delete(slices.Clone(s.Troubles), i, i+1)
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

// Brief words a scenario in a line.
func (s Scenario) Brief() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "seed=%d gateways=%d members=%d rooms=%d cells=%d load=%.2f accounts=%d classes=%d plans=%d hot=%.2f once=%.2f loss=%.2f guess_cv=%.2f retries=%d length=%v",
		s.Seed, s.Gateways, s.Members, s.Rooms, s.Cells, s.Load, s.Accounts, len(s.Settings.Classes), len(s.Settings.Plans), s.Hot, s.Once, s.Loss,
		s.GuessCV, s.Retries, s.Length)
	for _, t := range s.Troubles {
		fmt.Fprintf(b, " trouble=%s:%v:%v:%.2f", t.Kind, t.At.Round(time.Millisecond), t.For.Round(time.Millisecond), t.Part)
	}
	return b.String()
}

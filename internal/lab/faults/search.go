package faults

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/emulator"
)

// This file owns the search for scripts that do harm, and the measurement of those that are known.

// Found is a script that a search has kept.
type Found struct {
	Seed             uint64
	Script           []Trouble
	Lost             float64 // in the emulator, share of the worth against a run without faults
	Emulated, Played End
}

// mostShrunk bounds the plays in the emulator that one script is made smaller with.
const mostShrunk = 40

// Search draws scripts for some time and plays them in the emulator, keeps so many of the worst, leaves out of each the faults that
// do no more harm, and plays them on processes. It gives them and how many were drawn.
func Search(ctx context.Context, p Plan, length time.Duration, worst int) (found []Found, played int, err error) {
	calm := p
	calm.Script = nil
	without, err := Emulate(calm)
	if err != nil {
		return nil, 0, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	until, next := time.Now().Add(length), p.Seed
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for ctx.Err() == nil && time.Now().Before(until) {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				script := Drawn(rand.New(rand.NewPCG(seed, 0xfa017)), p.Length)
				f, err := emulated(p, seed, script, without)
				mu.Lock()
				if err == nil {
					found = append(found, f)
					slices.SortFunc(found, worse)
					found = found[:min(len(found), worst)]
				}
				played++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for i := range found {
		found[i] = smaller(p, found[i], without)
		q := p
		q.Seed, q.Script = found[i].Seed, found[i].Script
		if found[i].Played, err = Play(ctx, q); err != nil {
			return found, played, err
		}
	}
	return found, played, ctx.Err()
}

func worse(a, b Found) int {
	return cmp.Or(cmp.Compare(len(b.Emulated.Broken), len(a.Emulated.Broken)), cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Seed, b.Seed))
}

func emulated(p Plan, seed uint64, script []Trouble, without End) (Found, error) {
	p.Seed, p.Script = seed, script
	e, err := Emulate(p)
	return Found{Seed: seed, Script: script, Lost: without.Share - e.Share, Emulated: e}, err
}

// smaller leaves out the faults without which a script is as bad: a rule is broken still, or nine tenths are lost still.
func smaller(p Plan, f Found, without End) Found {
	s, err := Emulated(Plan{Seed: f.Seed, Gateways: p.Gateways, Members: p.Members, Spec: p.Spec, Load: p.Load, Spread: p.Spread, Heavy: p.Heavy,
		Ceiling: p.Ceiling, Length: p.Length, Script: f.Script, Notice: p.Notice, Slack: p.Slack})
	if err != nil {
		return f
	}
	kept := emulator.Minimise(s, mostShrunk, func(s emulator.Scenario) bool {
		if len(s.Faults) == 0 || s.Gateways != p.Gateways || s.Members != p.Members || s.Length != p.Length || s.SlowShare == 0 || s.HotShare != p.Heavy ||
			s.Retries == 0 {
			return false // the faults alone are to get fewer: the site is what it is
		}
		g, err := emulated(p, f.Seed, s.Faults, without)
		return err == nil && (len(g.Emulated.Broken) > 0 || len(f.Emulated.Broken) == 0 && g.Lost >= 0.9*f.Lost)
	})
	if g, err := emulated(p, f.Seed, kept.Faults, without); err == nil {
		return g
	}
	return f
}

// Shown is one script's runs, for a report: on processes and in the emulator, with the script and without.
type Shown struct {
	Name, Says string
	Script     []Trouble
	Ends, Calm []End
}

// Measure plays scripts on processes, and in the emulator where it can play them, over some seeds. For each seed and place there is
// one run without faults, which all scripts are held against.
func Measure(ctx context.Context, p Plan, names []string, seeds, parallel int, progress io.Writer) ([]Shown, error) {
	var shown []Shown
	for _, name := range names {
		script, err := Find(name)
		if err != nil {
			return nil, err
		}
		says := ""
		for _, s := range Scripts {
			if s.Name == name {
				says = s.Says
			}
		}
		shown = append(shown, Shown{Name: name, Says: says, Script: script})
	}
	var mu sync.Mutex
	var errs []error
	slots := make(chan struct{}, max(1, parallel))
	var all sync.WaitGroup
	calm := make([]End, 2*seeds)
	run := func(name string, q Plan, onEmulator bool, keep func(End)) {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			play := func() (End, error) { return Play(ctx, q) }
			if onEmulator {
				play = func() (End, error) { return Emulate(q) }
			}
			e, err := play()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
				return
			}
			keep(e)
			fmt.Fprintf(progress, "%s on=%s seed=%d share=%.3f beyond=%.3f peak_cold=%.2f peaks=%v rules_broken=%d seconds=%.2f\n", name, e.On, e.Seed, e.Share,
				e.Beyond, e.PeakCold, e.Peaks, len(e.Broken), e.Seconds)
			for _, b := range e.Broken {
				fmt.Fprintln(progress, b)
			}
		})
	}
	for k := range seeds {
		q := p
		q.Seed += uint64(k)
		if p.Dir != "" {
			q.Dir = fmt.Sprintf("%s/calm-%d", p.Dir, q.Seed)
		}
		for i, onEmulator := range []bool{false, true} {
			run("calm", q, onEmulator, func(e End) { calm[2*k+i] = e })
		}
		for j := range shown {
			q := q
			q.Script = shown[j].Script
			if p.Dir != "" {
				q.Dir = fmt.Sprintf("%s/%s-%d", p.Dir, shown[j].Name, q.Seed)
			}
			run(shown[j].Name, q, false, func(e End) { shown[j].Ends = append(shown[j].Ends, e) })
			if _, err := Emulated(q); err == nil {
				run(shown[j].Name, q, true, func(e End) { shown[j].Ends = append(shown[j].Ends, e) })
			}
		}
	}
	all.Wait()
	for j := range shown {
		slices.SortFunc(shown[j].Ends, func(a, b End) int { return cmp.Or(cmp.Compare(b.On, a.On), cmp.Compare(a.Seed, b.Seed)) })
		shown[j].Calm = calm
	}
	return shown, errors.Join(append(errs, ctx.Err())...)
}

// Against gives the undisturbed run that one is held against; an empty one where there is none.
func (s Shown) Against(e End) End {
	for _, c := range s.Calm {
		if c.On == e.On && c.Seed == e.Seed {
			return c
		}
	}
	return End{}
}

// Figures words the last line of the measurement, and tells how many runs broke a rule.
func Figures(shown []Shown, less float64) (line string, broken int) {
	b := &strings.Builder{}
	runs := 0
	for _, s := range shown {
		for _, e := range append(slices.Clone(s.Ends), s.Calm...) {
			if len(e.Broken) > 0 {
				broken++
			}
		}
		runs += len(s.Ends)
	}
	fmt.Fprintf(b, "scripts=%d runs=%d rules_broken=%d", len(shown), runs, broken)
	for _, s := range shown {
		for _, on := range []string{"processes", "emulator"} {
			worst, share, calm, n := 1.0, 0.0, 0.0, 0.0
			var back []float64
			for _, e := range s.Ends {
				if e.On != on {
					continue
				}
				worst, share, calm, n = min(worst, e.Worst(s.Script)), share+e.Share, calm+s.Against(e).Share, n+1
				back = append(back, e.Back(s.Against(e), Over(s.Script), less).Seconds())
			}
			if n == 0 {
				continue
			}
			key := strings.ReplaceAll(s.Name, "-", "_")
			if on == "emulator" {
				fmt.Fprintf(b, " %s_emulator=%.3f/%.3f", key, share/n, calm/n)
				continue
			}
			slices.SortFunc(back, func(a, b float64) int { return cmp.Compare(late(a), late(b)) })
			fmt.Fprintf(b, " %s=%.3f/%.3f worst=%.2f back_s=%.0f/%.0f", key, share/n, calm/n, worst, back[len(back)/2], back[len(back)-1])
		}
	}
	return b.String(), broken
}

// late sorts what never is normal again last.
func late(back float64) float64 {
	if back < 0 {
		return 1e9
	}
	return back
}

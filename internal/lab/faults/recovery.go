package faults

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file owns the measurement of coming back: scripts of restarts at several sizes, on processes with a store and without, and in
// the emulator, each against an undisturbed run of its own.

// Back is one case of it.
type Back struct {
	Script   string
	On       string // processes, processes+store, emulator
	Gateways int
	Runs     []BackRun
}

// BackRun is one seed of a case.
type BackRun struct {
	Share     [3]float64 // of the worth in the first 2, 10 and all seconds after the first fault, over that of the undisturbed run
	Back      time.Duration
	Took      float64 // seconds to full service, of the slowest gateway
	PeakDials float64 // over the fleet, over the same in the undisturbed run
	PeakCold  float64
	Beyond    float64 // worth beyond the quotas, less that of the undisturbed run
	Broken    []string
}

// backScripts are what is measured, and the sizes.
var (
	backScripts = []string{"power-cut", "gateways-killed", "herd", "all-twice", "one-a-second", "three-stopped", "woken-to-cold"}
	backOn      = map[string][]int{"processes": {3, 10}, "processes+store": {3, 10}, "emulator": {20, 100, 300}}
)

// Recoveries plays all cases, so many runs at once.
func Recoveries(ctx context.Context, p Plan, seeds, parallel int, short bool, progress io.Writer) ([]Back, error) {
	names, sizes := backScripts, backOn
	if short {
		names, sizes = backScripts[:3], map[string][]int{"processes": {3}, "processes+store": {3}, "emulator": {20, 100}}
	}
	var list []*Back
	var mu sync.Mutex
	var errs []error
	var all sync.WaitGroup
	slots := make(chan struct{}, max(1, parallel))
	for _, on := range []string{"emulator", "processes", "processes+store"} {
		for _, gateways := range sizes[on] {
			cases := make([]*Back, len(names))
			for i, name := range names {
				cases[i] = &Back{Script: name, On: on, Gateways: gateways}
			}
			list = append(list, cases...)
			for k := range seeds {
				q := p
				q.Seed += uint64(k)
				q.Gateways, q.Store = gateways, on == "processes+store"
				if q.Members = 12; on == "emulator" {
					q.Members = max(6, gateways*2/3) // of two cores; a gateway's traffic is thin where there are many
				}
				var calm End
				undisturbed := make(chan struct{})
				play := func(q Plan) (e End, err error) {
					slots <- struct{}{}
					defer func() { <-slots }()
					if err = ctx.Err(); err == nil {
						e, err = once(ctx, q, on)
					}
					if err != nil {
						mu.Lock()
						errs = append(errs, fmt.Errorf("%s, %d gateways, %q: %w", on, gateways, Words(q.Script), err))
						mu.Unlock()
					}
					return e, err
				}
				all.Go(func() {
					defer close(undisturbed)
					calm, _ = play(q)
				})
				for i, name := range names {
					all.Go(func() {
						q := q
						q.Script, _ = Find(name)
						e, err := play(q)
						if <-undisturbed; err != nil {
							return
						}
						run := compared(q.Script, e, calm)
						mu.Lock()
						defer mu.Unlock()
						cases[i].Runs = append(cases[i].Runs, run)
						fmt.Fprintf(progress, "on=%s gateways=%d script=%s seed=%d share_2s=%.3f share_10s=%.3f share=%.3f back=%v took_s=%.2f peak_dials=%.1f peak_cold=%.2f beyond=%.3f rules_broken=%d seconds=%.2f\n",
							on, gateways, name, q.Seed, run.Share[0], run.Share[1], run.Share[2], run.Back, run.Took, run.PeakDials, run.PeakCold, run.Beyond,
							len(run.Broken), e.Seconds)
						for _, b := range run.Broken {
							fmt.Fprintln(progress, b)
						}
					})
				}
			}
		}
	}
	all.Wait()
	done := make([]Back, 0, len(list))
	for _, c := range list {
		done = append(done, *c)
	}
	return done, errors.Join(append(errs, ctx.Err())...)
}

func once(ctx context.Context, p Plan, on string) (End, error) {
	if on == "emulator" {
		return Emulate(p)
	}
	return Play(ctx, p)
}

// compared holds a run against the undisturbed one.
func compared(script []Trouble, e, calm End) (b BackRun) {
	first := script[0].At
	for _, t := range script {
		first = min(first, t.At)
	}
	from := int(first / time.Second)
	for i, n := range []int{2, 10, len(e.Seconds)} {
		got, want := 0.0, 0.0
		for s := from; s < min(from+n, len(e.Seconds), len(calm.Seconds)); s++ {
			got, want = got+e.Seconds[s], want+calm.Seconds[s]
		}
		b.Share[i] = got / max(want, 1e-9)
	}
	b.Back = e.Back(calm, Over(script), 0.1)
	if len(e.Took) > 0 {
		b.Took = slices.Max(e.Took)
	}
	b.PeakDials = float64(e.Peaks["dials"]) / max(1, float64(calm.Peaks["dials"]))
	b.PeakCold, b.Beyond, b.Broken = e.PeakCold, e.Beyond-calm.Beyond, e.Broken
	return b
}

// BackFigures words the last line, and tells which bounds have failed. Each case gives the worth in 2 and 10 seconds against the
// undisturbed run, the seconds until normal, and the slowest start to full service, in the mean over the seeds (the last: the worst).
func BackFigures(list []Back) (line string, failed []string) {
	text := &strings.Builder{}
	runs, broken := 0, 0
	for _, c := range list {
		var share [3]float64
		took, cold, back := 0.0, 0.0, []time.Duration{}
		for _, r := range c.Runs {
			runs++
			broken += len(r.Broken)
			for i := range share {
				share[i] += r.Share[i] / float64(len(c.Runs))
			}
			took, cold, back = max(took, r.Took), max(cold, r.PeakCold), append(back, r.Back)
		}
		slices.SortFunc(back, func(a, b time.Duration) int { return cmp.Compare(late(a.Seconds()), late(b.Seconds())) })
		fmt.Fprintf(text, " %s_%s_%d=%.2f/%.2f/%.2f back_s=%.0f took_s=%.2f cold=%.2f", strings.ReplaceAll(c.Script, "-", "_"), strings.ReplaceAll(c.On, "+", "_"),
			c.Gateways, share[0], share[1], share[2], back[len(back)/2].Seconds(), took, cold)
		bound := func(ok bool, says string, values ...any) {
			if !ok {
				failed = append(failed, fmt.Sprintf("%s, %s, %d gateways: ", c.Script, c.On, c.Gateways)+fmt.Sprintf(says, values...))
			}
		}
		switch c.Script {
		case "herd":
			bound(share[1] >= 0.85, "%.3f of an undisturbed run in ten seconds", share[1])
		case "gateways-killed":
			bound(share[1] >= 0.85, "%.3f of an undisturbed run in ten seconds", share[1])
		case "power-cut":
			bound(share[1] >= 0.3, "%.3f of an undisturbed run in ten seconds", share[1])
		case "three-stopped":
			bound(back[len(back)/2] >= 0 && back[len(back)/2] <= time.Second, "normal %v after they went on", back[len(back)/2])
		}
	}
	if broken > 0 {
		failed = append(failed, fmt.Sprintf("%d rules broken", broken))
	}
	return fmt.Sprintf("runs=%d rules_broken=%d%s", runs, broken, text), failed
}

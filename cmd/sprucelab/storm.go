package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab"
	"sprucelane.example/sprucelane/internal/lab/load"
)

// The bounds of the measurement of storms.
const (
	maxRecoverySeconds = 1.5 * 16 // one and a half times the servers' warm-up
	maxColdOverload    = 4.0      // requests to a cold server over what it can do, in one second
)

// calmDays plays the days without a storm concurrently, and counts the storms that were seen all the same.
func calmDays(ctx context.Context, p lab.Storm) (alarms int, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, day := range lab.Days {
		all.Go(func() {
			n, failed := p.Calm(ctx, p.Seeds[0], day)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(p.Progress, "day=%q alarms=%d\n", day, n)
			alarms, err = alarms+n, errors.Join(err, failed)
		})
	}
	all.Wait()
	return alarms, err
}

// stormFigures prints the last line. The error joins the bounds that are broken.
func stormFigures(cmd *cobra.Command, p lab.Storm, runs []lab.StormRun, seeds, alarms int) error {
	var out resultLine
	var broken []error
	out.add("seeds", "%d", seeds)
	over := func(damped bool, model string, of func(lab.StormRun) float64) (mean, most float64) {
		n := 0.0
		for _, r := range runs {
			if r.Damped == damped && (model == "" || r.Model == model) {
				mean, n, most = mean+of(r), n+1, max(most, of(r))
			}
		}
		return mean / max(n, 1), most
	}
	back := func(r lab.StormRun) float64 { return r.Back.Seconds() }
	for _, m := range p.Models {
		on, _ := over(true, m.Name, back)
		off, _ := over(false, m.Name, back)
		out.add("back_"+m.Name, "%.1f", on)
		out.add("back_off_"+m.Name, "%.1f", off)
		if on > maxRecoverySeconds {
			broken = append(broken, fmt.Errorf("%s: back after %.1f s, later than %.0f", m.Name, on, maxRecoverySeconds))
		}
		if on > off {
			broken = append(broken, fmt.Errorf("%s: back after %.1f s, without damping %.1f", m.Name, on, off))
		}
	}
	peak := func(r lab.StormRun) float64 { return r.PeakCold }
	_, cold := over(true, "", peak)
	_, coldOff := over(false, "", peak)
	out.add("peak_cold", "%.2f", cold)
	out.add("peak_cold_off", "%.2f", coldOff)
	for _, c := range []struct {
		key string
		of  func(lab.StormRun) float64
	}{
		{"fell", func(r lab.StormRun) float64 { return float64(r.Fell) }},
		{"worth", func(r lab.StormRun) float64 { return r.Worth }},
		{"in_time", func(r lab.StormRun) float64 { return r.InTime }},
		{"refused", func(r lab.StormRun) float64 { return r.Refused }},
		{"spread", func(r lab.StormRun) float64 { return r.Spread }},
	} {
		on, _ := over(true, "", c.of)
		off, _ := over(false, "", c.of)
		out.add(c.key, "%.3f", on)
		out.add(c.key+"_off", "%.3f", off)
	}
	_, twice := over(true, "", func(r lab.StormRun) float64 { return float64(r.Twice) })
	unanswered, _ := over(true, "", func(r lab.StormRun) float64 { return float64(r.Unanswered) })
	out.add("twice", "%.0f", twice)
	out.add("unanswered", "%.1f", unanswered)
	out.add("alarms", "%d", alarms)
	fmt.Fprintln(cmd.OutOrStdout(), "STORM"+out.text.String())
	if cold > maxColdOverload {
		broken = append(broken, fmt.Errorf("a cold member was sent %.1f times what it could do", cold))
	}
	if twice > 0 {
		broken = append(broken, errors.New("a work-order ran twice"))
	}
	if alarms > 0 {
		broken = append(broken, fmt.Errorf("%d storms were seen on days without one", alarms))
	}
	return errors.Join(broken...)
}

func stormCommand(binary *string) *cobra.Command {
	p := lab.Storm{}
	var seeds int
	var first uint64
	var only string
	cmd := &cobra.Command{
		Use:   "storm",
		Short: "Measure how the fleet comes back from an outage of all members",
		Long: `Stops all members for a while and brings them back cold, while clients that want to be served come back again and
again, each model of them with storms damped and not. The last line has, for each model, the seconds from the restore
until goodput stays above 0.95 of what it was (back_, and back_off_ without damping), the most that a cold member was sent
over what it could do, members that fell over, worth served after the restore over what was before, what of it was in time,
first tries refused, spread of returns, and alarms on four days without a storm. SHORT=1 has an outage of 7 s and measures
24 s after it.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			p.Binary, p.Progress = *binary, cmd.ErrOrStderr()
			p.Warm, p.Outage, p.After, p.Patience = 12*time.Second, 20*time.Second, 60*time.Second, 15*time.Second
			if shortMode() {
				p.Warm, p.Outage, p.After, p.Patience = 6*time.Second, 7*time.Second, 24*time.Second, 6*time.Second
				seeds = min(seeds, 1)
			}
			p.Seeds = seedsFrom(first, seeds)
			for _, m := range load.Models {
				if only == "" || only == m.Name {
					p.Models = append(p.Models, m)
				}
			}
			if len(p.Models) == 0 {
				return errors.New("model: none of that name")
			}
			var alarms int
			var calm error
			var days sync.WaitGroup
			days.Go(func() { alarms, calm = calmDays(ctx, p) })
			runs, err := p.Run(ctx)
			days.Wait()
			if err = errors.Join(err, calm); err != nil {
				return err
			}
			return stormFigures(cmd, p, runs, seeds, alarms)
		},
	}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 5, "seeds, each with all models")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&p.Parallel, "parallel", 10, "seeds and models at once, each damped and not")
	f.IntVar(&p.Members, "members", 12, "pool members")
	f.Float64Var(&p.Load, "load", 0.6, "first tries, of what all members can do")
	f.Float64Var(&p.Heeds, "heeds", 0.5, "share of the clients that heed Retry-After")
	f.StringVar(&p.Dir, "keep", "", "`folder` to leave the gateways' files and logs in")
	f.StringVar(&only, "model", "", "one client model alone")
	return cmd
}

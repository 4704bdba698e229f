package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab"
)

// The bounds of the measurement of learning.
const (
	minSavedShare = 0.5  // of what a blank start loses against a warmed gateway in 10 s
	maxHarm       = 0.01 // of worth that a stale or wrong peer may cost against a blank start
)

func learningCommand(binary *string) *cobra.Command {
	l := lab.Learning{}
	var seeds int
	var first uint64
	cmd := &cobra.Command{
		Use:   "learning",
		Short: "Measure what a new gateway gains by learning from a peer",
		Long: `Starts a third gateway while a fifth of the members hangs: blank, learning from a running one, from one that was cut off
half a minute ago, and from one that is wrong; and, to compare with, one that had been running all along. Every arm of a
seed is the same but for that. The last line has, for each arm, the share of the worth offered to the third gateway
that was served in time in its first 1, 5, 10 and 60 s, what hanging members swallowed of its attempts, and the rules.
SHORT=1 measures 12 s instead of 60.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			l.Binary, l.Arms, l.Progress = *binary, lab.LearningArms, cmd.ErrOrStderr()
			l.Warm, l.Lead, l.Measured, l.Hang = 8*time.Second, 3*time.Second, 62*time.Second, 20*time.Second
			if shortMode() {
				l.Warm, l.Measured, l.Hang = 6*time.Second, 12*time.Second, 11*time.Second
			}
			l.Seeds = seedsFrom(first, seeds)
			runs, err := l.Run(ctx)
			if err != nil {
				return err
			}
			return learningFigures(cmd, l, runs)
		},
	}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 5, "seeds, each with all arms")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&l.Parallel, "parallel", 5, "seeds at once")
	f.IntVar(&l.Members, "members", 40, "pool members")
	f.Float64Var(&l.Rate, "rate", 90, "first tries a second, over three gateways")
	return cmd
}

// learningFigures prints the last line. The error joins the bounds that are broken.
func learningFigures(cmd *cobra.Command, l lab.Learning, runs []lab.LearningRun) error {
	var out resultLine
	out.add("seeds", "%d", len(l.Seeds))
	share := map[string][]float64{}
	for i, w := range lab.Windows {
		if w > l.Measured {
			continue
		}
		means := lab.Means(runs, func(r lab.LearningRun) float64 { return r.Share[i] })
		for _, arm := range l.Arms {
			share[arm] = append(share[arm], means[arm])
			out.add(fmt.Sprintf("%s_%ds", arm, int(w.Seconds())), "%.4f", means[arm])
		}
	}
	var broken []error
	lost := lab.Means(runs, func(r lab.LearningRun) float64 { return float64(r.Lost) })
	for _, arm := range l.Arms {
		out.add("lost_"+arm, "%.1f", lost[arm])
	}
	late, cold, twice := uint64(0), uint64(0), uint64(0)
	for _, r := range runs {
		late, cold, twice = late+r.Late, cold+r.ColdBroken, twice+r.Twice
	}
	out.add("late", "%d", late)
	out.add("cold_broken", "%d", cold)
	out.add("twice", "%d", twice)
	if late+cold+twice > 0 {
		broken = append(broken, fmt.Errorf("a rule is broken: late=%d cold_broken=%d twice=%d", late, cold, twice))
	}
	const ten = 2 // index of the first 10 s in lab.Windows
	saved := (share[lab.ArmOn][ten] - share[lab.ArmOff][ten]) / max(share[lab.ArmWarm][ten]-share[lab.ArmOff][ten], 1e-9)
	out.add("saved", "%.2f", saved)
	if saved < minSavedShare {
		broken = append(broken,
			fmt.Errorf("learning saves %.2f of what a blank start loses, less than %.2f", saved, minSavedShare))
	}
	for _, arm := range []string{lab.ArmStale, lab.ArmLying} {
		harm := 0.0
		for i := range share[arm] {
			if i >= ten { // shorter windows hold a few dozen requests
				harm = max(harm, share[lab.ArmOff][i]-share[arm][i])
			}
		}
		out.add("harm_"+arm, "%.4f", harm)
		if harm > maxHarm {
			broken = append(broken, fmt.Errorf("a %s peer costs %.4f of the worth, more than %.2f", arm, harm, maxHarm))
		}
	}
	for _, n := range []int{40, 2000} {
		c, err := lab.LearningCost(n, 20)
		if err != nil {
			return err
		}
		out.add(fmt.Sprintf("bytes_%d", n), "%.1f", c.Bytes)
		out.add(fmt.Sprintf("cpu_us_%d", n), "%.2f", c.CPUMicros)
	}
	fmt.Fprintln(cmd.OutOrStdout(), "LEARNING"+out.text.String())
	return errors.Join(broken...)
}

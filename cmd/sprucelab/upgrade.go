package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab"
)

// The bounds of the measurement of upgrades.
const (
	maxBrokenPerUpgrade = 2   // connections of clients that are refused or reset, per upgrade
	maxOverQuotaRatio   = 1.1 // value served beyond the quotas, over that of a restart
)

func upgradeCommand(binary *string) *cobra.Command {
	p := lab.Upgrade{}
	var seeds int
	var first uint64
	cmd := &cobra.Command{
		Use:   "upgrade",
		Short: "Measure what an upgrade costs clients, quotas and memory",
		Long: `Puts a gateway at the smallest limits in another's place again and again, under load and with long bodies passing through:
beside it, as operators do, and by a restart. The last line has, for both (off: by a restart), the tries for each upgrade
that had no whole answer and those of them that met a refused or reset connection, long bodies alike, the share of the worth
served in time (a restart gives the bursts of all quotas out again, so it may serve more), and the worth served beyond the
quotas; and of upgrades the most that both processes held in memory, and the longest that the old one stayed. SHORT=1 takes
two upgrades of two seeds.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			p.Binary, p.Progress = *binary, cmd.ErrOrStderr()
			if shortMode() {
				p.Upgrades, seeds = min(p.Upgrades, 2), min(seeds, 2)
			}
			p.Seeds = seedsFrom(first, seeds)
			runs, err := p.Run(ctx)
			if err != nil {
				return err
			}
			return upgradeFigures(cmd, p, runs)
		},
	}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 4, "seeds")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&p.Parallel, "parallel", 2, "seeds at once, each in both ways")
	f.Float64Var(&p.Rate, "rate", 120, "first tries a second")
	f.IntVar(&p.Upgrades, "upgrades", 5, "upgrades of each seed")
	f.DurationVar(&p.Every, "every", 4*time.Second, "from one upgrade to the next")
	f.IntVar(&p.Bulk, "bulk", 4, "long bodies at once")
	f.IntVar(&p.MemoryMB, "memory", 32, "memory limit of both processes together, in MB")
	f.StringVar(&p.Dir, "keep", "", "`folder` to leave the gateways' files and logs in")
	return cmd
}

// upgradeFigures prints the last line. The error joins the bounds that are broken.
func upgradeFigures(cmd *cobra.Command, p lab.Upgrade, runs []lab.UpgradeRun) error {
	over := func(beside bool, of func(lab.UpgradeRun) float64) (mean, most float64) {
		n := 0.0
		for _, r := range runs {
			if r.Beside == beside {
				mean, n, most = mean+of(r), n+1, max(most, of(r))
			}
		}
		return mean / max(n, 1), most
	}
	var out resultLine
	out.add("seeds", "%d", len(p.Seeds))
	out.add("upgrades", "%d", p.Upgrades)
	per := float64(max(p.Upgrades, 1))
	mean := map[string][2]float64{}
	for _, c := range []struct {
		key string
		of  func(lab.UpgradeRun) float64
	}{
		{"lost", func(r lab.UpgradeRun) float64 { return float64(r.Lost) / per }},
		{"broken", func(r lab.UpgradeRun) float64 { return float64(r.Broken) / per }},
		{"bulk_broken", func(r lab.UpgradeRun) float64 { return float64(r.BulkBroken) / per }},
		{"in_time", func(r lab.UpgradeRun) float64 { return r.InTime }},
		{"beyond", func(r lab.UpgradeRun) float64 { return r.Beyond }},
	} {
		on, _ := over(true, c.of)
		off, _ := over(false, c.of)
		mean[c.key] = [2]float64{on, off}
		out.add(c.key, "%.3f", on)
		out.add(c.key+"_off", "%.3f", off)
	}
	_, memory := over(true, func(r lab.UpgradeRun) float64 { return float64(r.Memory) / (1 << 20) })
	_, left := over(true, func(r lab.UpgradeRun) float64 { return r.Left.Seconds() })
	_, twice := over(true, func(r lab.UpgradeRun) float64 { return float64(r.Twice) })
	out.add("memory_mb", "%.1f", memory)
	out.add("left_s", "%.2f", left)
	out.add("twice", "%.0f", twice)
	fmt.Fprintln(cmd.OutOrStdout(), "UPGRADE"+out.text.String())
	var broken []error
	for _, b := range []struct {
		is   bool
		says string
	}{{mean["broken"][0]+mean["bulk_broken"][0] > maxBrokenPerUpgrade, "clients met ends of connections"},
		{mean["lost"][0] > mean["lost"][1], "a restart loses less"},
		{mean["beyond"][0] > maxOverQuotaRatio*mean["beyond"][1], "a restart lets less through beyond the quotas"},
		{memory > float64(p.MemoryMB), "both processes held more than the memory limit"},
		{twice > 0, "a work-order ran twice"}} {
		if b.is {
			broken = append(broken, errors.New(b.says))
		}
	}
	return errors.Join(broken...)
}

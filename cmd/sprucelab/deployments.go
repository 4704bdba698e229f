package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/emulator"
)

// below is how much less than the plain policy serves counts as below it: what one run differs by from another.
const below = 0.03

func deploymentsCommand() *cobra.Command {
	var first uint64
	var count, gateways int
	var most float64
	cmd := &cobra.Command{
		Use:   "deployments",
		Short: "Play deployments drawn at random, and hold them against a plain policy",
		Long: `Draws deployments from all that the platform's settings allow, with load, clients and troubles, and plays each for five
virtual seconds: once with the real decision modules, once with power-of-two choice and even parts of the quotas. The rules are
checked from outside. The last line tells how many broke a rule, in how many the modules serve less than the plain policy by more
than 0.03 of the worth, and the worst of them by seed. It fails where a rule is broken or too many serve less.`,
		Example: `  sprucelab deployments --count 200
  sprucelab deployments --seed 94 --count 1`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if shortMode() && !cmd.Flags().Changed("count") {
				count = 100
			}
			out := cmd.OutOrStdout()
			type drawn struct {
				seed        uint64
				real, plain float64
			}
			var list []drawn
			broken := 0
			for seed := first; seed < first+uint64(count); seed++ {
				s := emulator.Drawn(seed, gateways)
				r, err := emulator.Play(s)
				if err != nil {
					broken++
					small := emulator.Minimise(s, 100, func(s emulator.Scenario) bool { _, err := emulator.Play(s); return err != nil })
					fmt.Fprintf(out, "%v\n  it takes no more than %s\n", err, small.Brief())
					continue
				}
				s.Plain = true
				p, err := emulator.Play(s)
				if err != nil { // what breaks a rule serves nothing that counts
					p = emulator.Result{}
				}
				list = append(list, drawn{seed, r.Share(), p.Share()})
				if count < 20 {
					fmt.Fprintf(out, "seed=%d share=%.3f plain=%.3f gateways=%d members=%d over_cap=%d refused=%d failed=%d tries=%d\n", seed,
						r.Share(), p.Share(), s.Gateways, s.Members, r.OverCap, r.Refused, r.Failed, r.Tries)
				}
			}
			slices.SortFunc(list, func(a, b drawn) int { return cmp.Compare(a.real-a.plain, b.real-b.plain) })
			less, mean, worst := 0, 0.0, ""
			for i, d := range list {
				mean += (d.real - d.plain) / float64(len(list))
				if d.real < d.plain-below {
					less++
				}
				if i < 5 {
					worst += fmt.Sprintf("%d:%.2f/%.2f,", d.seed, d.real, d.plain)
				}
			}
			share := float64(less) / float64(max(1, len(list)))
			fmt.Fprintf(out, "DEPLOYMENTS played=%d rules_broken=%d below_plain=%.3f mean_gain=%.4f worst=%s\n", count, broken, share, mean, worst)
			if broken > 0 || share > most {
				return errors.New("a bound has failed")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&count, "count", 400, "deployments, one a seed")
	f.IntVar(&gateways, "gateways", 12, "most gateways of one")
	f.Float64Var(&most, "below", 0.3, "most of them, as a share, that may serve less than the plain policy")
	return cmd
}

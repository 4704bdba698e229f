package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/emulator"
)

// maxPlainLead is by how much the plain policy may serve more without counting as better: the shares that two runs
// serve in time differ by as much.
const maxPlainLead = 0.03

// worstShown is how many deployments the last line names.
const worstShown = 5

// comparison is a deployment, and the shares of the value served in time with the real policy and the plain one.
type comparison struct {
	seed        uint64
	real, plain float64
}

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
			list, broken := playDeployments(out, first, count, gateways)
			share := deploymentFigures(out, list, count, broken)
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

// playDeployments plays the deployments of count seeds from first on with both policies, and returns those in which
// the real one broke no rule, and the number of the others, which it prints with a smaller scenario that breaks a
// rule, too.
func playDeployments(out io.Writer, first uint64, count, gateways int) (list []comparison, broken int) {
	for seed := first; seed < first+uint64(count); seed++ {
		s := emulator.RandomScenario(seed, gateways)
		r, err := emulator.Simulate(s)
		if err != nil {
			broken++
			small := emulator.Minimise(s, 100, func(s emulator.Scenario) bool { _, err := emulator.Simulate(s); return err != nil })
			fmt.Fprintf(out, "%v\n  it takes no more than %s\n", err, small.Brief())
			continue
		}
		s.Plain = true
		p, err := emulator.Simulate(s)
		if err != nil { // what breaks a rule serves nothing that counts
			p = emulator.Result{}
		}
		list = append(list, comparison{seed, r.Share(), p.Share()})
		if count < 20 {
			fmt.Fprintf(out, "seed=%d share=%.3f plain=%.3f gateways=%d members=%d over_cap=%d refused=%d failed=%d tries=%d\n",
				seed, r.Share(), p.Share(), s.Gateways, s.Members, r.OverCap, r.Refused, r.Failed, r.Tries)
		}
	}
	return list, broken
}

// deploymentFigures prints the last line, and returns the share of the deployments in which the plain policy is better.
func deploymentFigures(out io.Writer, list []comparison, count, broken int) float64 {
	slices.SortFunc(list, func(a, b comparison) int { return cmp.Compare(a.real-a.plain, b.real-b.plain) })
	less, mean, worst := 0, 0.0, ""
	for i, c := range list {
		mean += (c.real - c.plain) / float64(len(list))
		if c.real < c.plain-maxPlainLead {
			less++
		}
		if i < worstShown {
			worst += fmt.Sprintf("%d:%.2f/%.2f,", c.seed, c.real, c.plain)
		}
	}
	share := float64(less) / float64(max(1, len(list)))
	fmt.Fprintf(out, "DEPLOYMENTS played=%d rules_broken=%d below_plain=%.3f mean_gain=%.4f worst=%s\n",
		count, broken, share, mean, worst)
	return share
}

package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab/soak"
)

// errBroken means that a rule was broken. The output says which and when.
var errBroken = errors.New("rules were broken")

func soakCommand() *cobra.Command {
	plan := soak.DefaultOptions("")
	var seconds float64
	var seeds int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "The whole system under load and random faults, with a checker that judges from outside",
		Long: `Starts control processes, gateways and stores on loopback addresses of their own and lets things go wrong by chance, several at
a time: kills of some processes or of all, lost disks, processes that stand still, cuts between machines, answers that clients
don't wait for. A line for each seed tells what came of it; a broken rule is reported with the faults before it, and the folder
with the logs stays.

The programs are built with -tags faultinjection: make soak does so. Without the tag nothing is cut off.`,
		Example: "  sprucelab soak --programs target/soak --seconds 120 --seed 7",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			plan.FaultDuration = time.Duration(seconds * float64(time.Second))
			plan.Output = cmd.OutOrStdout()
			broken := false
			for range seeds {
				result, err := soak.Run(ctx, plan)
				if err != nil {
					return err
				}
				printSoak(plan.Output, result)
				broken = broken || len(result.Violations) > 0
				if ctx.Err() != nil {
					break
				}
				plan.Seed++
			}
			if broken {
				return errBroken
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&plan.Programs, "programs", "target/soak", "the `folder` of the system's programs, built with -tags faultinjection")
	f.Float64Var(&seconds, "seconds", plan.FaultDuration.Seconds(), "how long there are faults")
	f.Uint64Var(&plan.Seed, "seed", plan.Seed, "what all chance follows from")
	f.IntVar(&seeds, "seeds", 1, "how many seeds are played, one after the other, each one more than that before")
	f.StringSliceVar(&plan.Zones, "zones", plan.Zones, "the zones")
	f.IntVar(&plan.FrontMachines, "fronts", plan.FrontMachines, "machines with a gateway")
	f.IntVar(&plan.ControlMachines, "controls", plan.ControlMachines, "front machines that have a control process, too; 0: all")
	f.IntVar(&plan.StoreMachines, "stores", plan.StoreMachines, "machines with batch processes")
	f.IntVar(&plan.MaxLostDisks, "lost", plan.MaxLostDisks, "disks that may be lost at once")
	f.Float64Var(&plan.StreamRate, "rate", plan.StreamRate, "streams a second")
	f.Float64Var(&plan.JobRate, "jobs", plan.JobRate, "batch jobs a second")
	f.StringVar(&plan.LogFolder, "logs", "", "the `folder` in which those of a run with broken rules stay")
	return cmd
}

// printSoak prints the line of a seed.
func printSoak(out io.Writer, result soak.Result) {
	var line resultLine
	line.add("seed", "%d", result.Options.Seed)
	for _, kind := range soak.FaultKinds {
		line.add(string(kind), "%d", result.Faults[kind])
	}
	line.add("disks", "%d", result.DisksWiped)
	line.add("requests", "%d", result.Streams)
	line.add("hostile", "%d", result.HostileValues)
	line.add("accepted", "%d", result.Accepted)
	line.add("refused", "%d", result.Rejected)
	line.add("ended", "%d", result.Ended)
	line.add("orders", "%d", result.ConfigurationChanges)
	line.add("violations", "%d", len(result.Violations)+result.OmittedViolations)
	if result.Folder != "" {
		line.add("logs", "%s", result.Folder)
	}
	fmt.Fprintln(out, "SOAK"+line.text.String())
}

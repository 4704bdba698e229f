package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"sprucelane.example/sprucelane/internal/lab/system"
)

func systemCommand() *cobra.Command {
	var programs string
	var seconds float64
	d := system.Demonstration{}
	cmd := &cobra.Command{
		Use:   "system",
		Short: "The whole system on loopback under a light load, with a live table",
		Long: `Starts three control processes, three gateways and three batch processes on loopback addresses of their own, before fakes of
the platform's list and of model servers; puts a configuration as the operator; sends streams and batch jobs; kills a control
process and starts it again. Whatever it started ends with it.`,
		Example: "  sprucelab system --programs target --seconds 60",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			d.Options = system.DefaultOptions(programs)
			d.Duration = time.Duration(seconds * float64(time.Second))
			d.Output = cmd.OutOrStdout()
			d.Live = term.IsTerminal(int(os.Stdout.Fd()))
			return d.Run(ctx)
		},
	}
	f := cmd.Flags()
	f.StringVar(&programs, "programs", "target", "the `folder` of the system's programs")
	f.Float64Var(&seconds, "seconds", 0, "how long the load lasts; 0: until it is interrupted")
	f.Float64Var(&d.Rate, "rate", 40, "requests a second")
	f.IntVar(&d.ItemsPerJob, "items", 20, "items of a batch job; one is submitted every 5 s")
	f.BoolVar(&d.Fault, "fault", true, "kill a control process on the way, and start it again")
	return cmd
}

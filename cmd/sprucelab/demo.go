package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"sprucelane.example/sprucelane/internal/lab"
)

func demoCommand(binary *string) *cobra.Command {
	d := lab.Demo{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Three gateways and eight members under a light load, with a live table",
		Long: `Starts three gateways before eight fake members under a light load, and lets something go wrong every few seconds: a
member hangs, one restarts cold, a gateway is killed, a member drains and another takes its place.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			d.Binary, d.Out = *binary, cmd.OutOrStdout()
			d.Live = term.IsTerminal(int(os.Stdout.Fd()))
			return d.Run(ctx)
		},
	}
	cmd.Flags().Uint64Var(&d.Seed, "seed", 1, "what all chance follows from")
	cmd.Flags().Float64Var(&d.Rate, "rate", 60, "first tries a second")
	cmd.Flags().DurationVar(&d.For, "for", 30*time.Second, "how long, 10 minutes at most")
	return cmd
}

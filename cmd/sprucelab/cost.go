package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab"
)

func costCommand(binary *string) *cobra.Command {
	var against string
	var starts int
	var rate float64
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "cost",
		Short: "Measure what a gateway takes to start, to stand and to serve",
		Long: `Starts a gateway some times over and loads it; with --against another program too, in turns. The last line gives medians:
ready_ms, idle_mb, peak_mb and cpu_us for each request.`,
		Example: "  sprucelab cost --gateway bin/sprucelane --against old/sprucelane",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			line := "COST"
			for _, p := range []struct{ name, path string }{{"", *binary}, {"against_", against}} {
				if p.path == "" {
					continue
				}
				c, err := lab.MeasureCost(ctx, p.path, starts, rate, length, cmd.ErrOrStderr())
				if err != nil {
					return err
				}
				line += fmt.Sprintf(" %sready_ms=%.1f %sidle_mb=%.1f %speak_mb=%.1f %scpu_us=%d", p.name, c.Ready.Seconds()*1000, p.name,
					float64(c.Idle)/(1<<20), p.name, float64(c.Loaded)/(1<<20), p.name, c.CPU.Microseconds())
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), line)
			return err
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "another `program` to compare with")
	cmd.Flags().IntVar(&starts, "starts", 9, "starts of each")
	cmd.Flags().Float64Var(&rate, "rate", 300, "requests a second")
	cmd.Flags().DurationVar(&length, "for", 10*time.Second, "how long the load lasts")
	return cmd
}

package main

import (
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab/scale"
)

func scaleCommand() *cobra.Command {
	plan := scale.Plan{}
	var sizes []int
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "Measure what control takes by the number of gateways, on loopback",
		Long: `Starts three control processes and, in this process, hollow gateways: the real code that keeps a gateway's configuration, list of
servers and quota, without traffic. Puts a configuration, changes a route every second, and writes a line for each size.
Control's bytes are all that it reads and writes: members, other control processes, the platform's list, disk and log.`,
		Example: "  sprucelab scale --programs target --members 0,50,100,200,400 --servers 1000 --tenants 1000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := until()
			defer stop()
			scale.WriteHead(cmd.OutOrStdout())
			for _, plan.Members = range sizes {
				result, err := scale.Run(ctx, plan)
				if err != nil {
					return err
				}
				scale.WriteRow(cmd.OutOrStdout(), &result)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&plan.Programs, "programs", "target", "the `folder` of the system's programs")
	f.IntSliceVar(&sizes, "members", []int{0, 50, 100, 200, 400}, "hollow gateways, a run each")
	f.IntVar(&plan.Servers, "servers", 1000, "servers in the platform's list")
	f.IntVar(&plan.Tenants, "tenants", 1000, "tenants of the configuration")
	f.Float64Var(&plan.Requests, "requests", 0, "requests for a token a second, of each gateway")
	f.DurationVar(&plan.For, "for", 6*time.Second, "how long each size is measured")
	f.DurationVar(&plan.ChangeEvery, "change-every", time.Second, "between two changes of configuration")
	return cmd
}

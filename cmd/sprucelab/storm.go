package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab"
	"sprucelane.example/sprucelane/internal/lab/load"
)

func stormCommand(binary *string) *cobra.Command {
	p := lab.Storm{}
	var seeds int
	var first uint64
	var only string
	cmd := &cobra.Command{
		Use:   "storm",
		Short: "Measure how the fleet comes back from an outage of all members",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := until()
			defer stop()
			p.Binary, p.Progress = *binary, cmd.ErrOrStderr()
			p.Warm, p.Outage, p.After, p.Patience = 12*time.Second, 20*time.Second, 60*time.Second, 15*time.Second
			if short() {
				p.Warm, p.Outage, p.After, p.Patience = 7*time.Second, 8*time.Second, 24*time.Second, 10*time.Second
			}
			for i := range seeds {
				p.Seeds = append(p.Seeds, first+uint64(i))
			}
			for _, m := range load.Models {
				if only == "" || only == m.Name {
					p.Models = append(p.Models, m)
				}
			}
			if len(p.Models) == 0 {
				return errors.New("model: none of that name")
			}
			runs, err := p.Run(ctx)
			if err != nil {
				return err
			}
			_ = runs
			fmt.Fprintln(cmd.OutOrStdout(), "STORM")
			return nil
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

package main

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab"
	"sprucelane.example/sprucelane/internal/lab/load"
)

func loadCommand(binary *string) *cobra.Command {
	var gateways, count, accounts int
	var seed uint64
	var rate, retries, heeds float64
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Load gateways before fake members, and tell how they did",
		Long: `Starts gateways before fake members and asks them in an open loop: the moments of requests are drawn ahead and wait for
no answer. Each first try is timed from the moment it was meant for.`,
		Example: "  sprucelab load --gateways 3 --members 14 --rate 96 --for 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			asks := lab.PlatformLoad(seed, rate, accounts, max(gateways, 1))
			asks.Retries, asks.Heeds = retries, heeds
			site, err := lab.Open(lab.Plan{Binary: *binary, Seed: seed, Gateways: gateways, Members: count,
				Spec: poolmember.Default(), SlowPart: 0.4, Delay: 800 * time.Millisecond, Load: asks, Peers: gateways > 1})
			if err != nil {
				return cli.ExitError{Code: cli.ExitUsage, Err: err}
			}
			defer site.Close()
			for n := range gateways {
				if _, err := site.StartGateway(n, nil); err != nil {
					return err
				}
			}
			site.Run(ctx, length)
			report(cmd.OutOrStdout(), site)
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&gateways, "gateways", 3, "gateways")
	f.IntVar(&count, "members", 14, "pool members")
	f.IntVar(&accounts, "accounts", 60, "accounts that ask")
	f.Uint64Var(&seed, "seed", 1, "what all chance follows from")
	f.Float64Var(&rate, "rate", 96, "first tries a second")
	f.Float64Var(&retries, "retries", 0.5, "share of the clients that retry once")
	f.Float64Var(&heeds, "heeds", 0.6, "share of the clients that wait as Retry-After says")
	f.DurationVar(&length, "for", 20*time.Second, "how long")
	return cmd
}

// report prints a table of each class and of all.
func report(to io.Writer, site *lab.Site) {
	records := site.Generator.Records()
	t := table.NewWriter()
	t.SetOutputMirror(to)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"class", "first tries", "worth in time", "served", "refused", "failed", "broken",
		"given up", "retried", "p50", "p90", "p99", "p99.9"})
	row := func(name string, want func(load.Record) bool) {
		s := load.Summarise(records, site.Load.Classes, want)
		cells := table.Row{name, s.Tries, fmt.Sprintf("%.2f%%", 100*s.Share()), s.Ends[load.Served], s.Ends[load.Refused],
			s.Ends[load.Failed], s.Ends[load.Broken], s.Ends[load.GivenUp], s.Retried}
		for _, q := range []float64{50, 90, 99, 99.9} {
			cells = append(cells, s.Quantile(q).Round(time.Millisecond))
		}
		t.AppendRow(cells)
	}
	for i, c := range site.Load.Classes {
		row(c.Name, func(r load.Record) bool { return r.Class == i })
	}
	row("all", nil)
	t.Render()
	a := site.Audit()
	fmt.Fprintf(to, "members: sent=%d served=%d turned_away=%d ran_twice=%d late_to_draining=%d cold_broken=%d\n",
		a.Sent, a.Served, a.TurnedAway, a.Twice, a.Late, a.ColdBroken)
}

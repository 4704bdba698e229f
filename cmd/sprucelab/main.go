// Command sprucelab is the laboratory: a demonstration, load, and the project's measurements, all on loopback. This
// file owns the commands and their flags; it must never do their work.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"sprucelane.example/sprucelane/internal/cli"
	"sprucelane.example/sprucelane/internal/lab"
)

func main() {
	os.Exit(cli.Main(newRootCommand(), func(err error) { fmt.Fprintln(os.Stderr, "sprucelab:", err) }))
}

func newRootCommand() *cobra.Command {
	var binary string
	root := &cobra.Command{
		Use:   "sprucelab",
		Short: "Demonstration, load and measurements of sprucelane, on loopback",
		Long: `Demonstration, load and measurements of sprucelane, on loopback. Gateways are real processes; pool members, discovery
and clients are stand-ins in this one. Every flag has a variable: SPRUCELAB_ and the flag's name in capitals.`,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		PersistentPreRunE: cli.EnvFlags("SPRUCELAB", os.Getenv),
	}
	beside := "sprucelane"
	if self, err := os.Executable(); err == nil {
		beside = filepath.Join(filepath.Dir(self), beside)
	}
	root.PersistentFlags().StringVar(&binary, "gateway", beside, "the gateway's `program`")
	root.AddCommand(demoCommand(&binary), loadCommand(&binary), costCommand(&binary), learningCommand(&binary), stormCommand(&binary), upgradeCommand(&binary), faultsCommand(&binary), recoveryCommand(&binary), simCommand(), deploymentsCommand(), systemCommand(), soakCommand(),
		&cobra.Command{Use: "version", Short: "Print the program's version", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "sprucelab", cli.Version())
				return err
			}})
	return root
}

// until gives a context that ends with an interrupt.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func demoCommand(binary *string) *cobra.Command {
	d := lab.Demo{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Three gateways and eight members under a light load, with a live table",
		Long: `Starts three gateways before eight stand-in members under a light load, and lets something go wrong every few seconds: a
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

// short tells whether a measurement is to keep under fifty seconds.
func shortMode() bool { return os.Getenv("SHORT") != "" && os.Getenv("SHORT") != "0" }

// figures words a measurement's last line.
type resultLine struct{ text strings.Builder }

func (f *resultLine) add(key, format string, value any) {
	fmt.Fprintf(&f.text, " %s="+format, key, value)
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/lab/faults"
)

func faultsCommand(binary *string) *cobra.Command {
	p := faults.Default()
	var script string
	var onEmulator, calm, asJSON bool
	var report string
	cmd := &cobra.Command{
		Use:   "faults",
		Short: "Play a script of faults on real gateways, with a checker",
		Long: `Starts gateways as processes of their own before fake members, with a relay for each link between them, does to them what
a script says, and counts from outside whether the rules were kept. A script is a name of 'faults list', a file, or faults with
a space between them, each kind:at:for:part[:size]. A broken rule ends the command with 1 and prints the request's story.`,
		Example: `  sprucelab faults --script power-cut
  sprucelab faults --script 'kill:8s:300ms:0.6 loss:8s:5s:1:0.3' --seed 7 --calm
  sprucelab faults --script split-20 --emulator`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			list, err := faults.Find(script)
			if err == nil {
				p.Script, p.Binary = list, *binary
				err = p.Check()
			}
			if err != nil {
				return cli.ExitError{Code: cli.ExitUsage, Err: err}
			}
			arms := []faults.Plan{p}
			if calm {
				without := p
				without.Script = nil
				arms = append(arms, without)
			}
			var ends []faults.End
			for _, p := range arms {
				e, err := playOn(ctx, p, onEmulator)
				if err != nil {
					return err
				}
				ends = append(ends, e)
			}
			out := cmd.OutOrStdout()
			var broken []error
			for _, e := range ends {
				if err := printEnd(out, e, asJSON); err != nil {
					return err
				}
				if len(e.Broken) > 0 {
					broken = append(broken, errors.New(strings.Join(e.Broken, "\n")))
				}
			}
			if calm {
				over := faults.Over(list)
				fmt.Fprintf(out, "FAULTS share=%.3f calm=%.3f worst_second=%.2f back_s=%.0f rules_broken=%d\n",
					ends[0].Share, ends[1].Share, ends[0].Worst(list), ends[0].Back(ends[1], over, normalMargin).Seconds(), len(broken))
			}
			if report != "" {
				if err := faults.WriteReport(report, []faults.Shown{{Name: script, Ends: ends, Script: list}}); err != nil {
					return err
				}
			}
			return errors.Join(broken...)
		},
	}
	f := cmd.Flags()
	f.StringVar(&script, "script", "power-cut", "a name of 'faults list', a `file`, or faults")
	f.BoolVar(&onEmulator, "emulator", false, "play it in the emulator, not on processes")
	f.BoolVar(&calm, "calm", false, "play the same without the faults, too")
	f.BoolVar(&asJSON, "json", false, "print JSON lines")
	f.StringVar(&report, "html", "", "write a report to a `file`")
	planFlags(cmd, &p)
	cmd.AddCommand(faultsList(), faultsSearch(binary), faultsMeasure(binary))
	return cmd
}

// normalMargin is how far below an undisturbed run the share served in time of a second may be and count as normal.
const normalMargin = 0.1

// planFlags adds the flags that all measurements of faults have.
func planFlags(cmd *cobra.Command, p *faults.Plan) {
	f := cmd.Flags()
	f.Uint64Var(&p.Seed, "seed", p.Seed, "what all chance follows from")
	f.IntVar(&p.Gateways, "gateways", p.Gateways, "gateways, 40 at most")
	f.IntVar(&p.Members, "members", p.Members, "pool members")
	f.Float64Var(&p.Load, "load", p.Load, "first tries, of what all members can do")
	f.IntVar(&p.Spread, "spread", 0, "gateways of each account; 0: all")
	f.Float64Var(&p.Heavy, "heavy", p.Heavy, "share of the accounts that ask four times as much")
	f.Float64Var(&p.Ceiling, "ceiling", p.Ceiling, "hard ceilings, times the quotas; 0: none")
	f.DurationVar(&p.Length, "for", p.Length, "how long clients ask")
	f.DurationVar(&p.Slack, "slack", p.Slack, "of every limit of time: what the machine adds")
	f.IntVar(&p.Sockets, "sockets", 0, "descriptors of a gateway; 0: 1024")
	f.BoolVar(&p.Store, "store", false, "give each gateway a folder that outlasts its process")
	f.StringVar(&p.Dir, "keep", "", "`folder` to leave the gateways' files and logs in")
}

// playOn plays a plan in the emulator or on processes.
func playOn(ctx context.Context, p faults.Plan, onEmulator bool) (faults.End, error) {
	if onEmulator {
		return faults.Emulate(p)
	}
	return faults.Play(ctx, p)
}

// printEnd prints how a run ended, as a line for people or as JSON.
func printEnd(out io.Writer, e faults.End, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(e)
	}
	_, err := fmt.Fprintf(out, "on=%s seed=%d share=%.3f tries=%d ends=%v beyond=%.3f over_ceiling=%.1f peak_cold=%.2f "+
		"peaks=%v totals=%v rules_broken=%d script=%q\nseconds=%.2f\n", e.On, e.Seed, e.Share, e.Tries, e.Ends, e.Beyond,
		e.Ceiling, e.PeakCold, e.Peaks, e.Totals, len(e.Broken), e.Script, e.Seconds)
	return err
}

func faultsList() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "The scripts that come with the program", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, s := range faults.Scripts {
				fmt.Fprintf(cmd.OutOrStdout(), "%-18s %s\n%18s   %s\n", s.Name, s.Says, "", s.Text)
			}
			return nil
		}}
}

func faultsSearch(binary *string) *cobra.Command {
	p := faults.Default()
	p.Length = 20 * time.Second
	var length time.Duration
	var worst int
	var report string
	cmd := &cobra.Command{
		Use:   "search",
		Short: "Draw scripts at random in the emulator, and play the worst on processes",
		Long: `Draws scripts and plays them in the emulator for as long as it is told to; then plays the worst, by broken rules and by what is
lost against a run without faults, on processes, and leaves out of each the faults without which it is as bad.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			p.Binary = *binary
			found, played, err := faults.Search(ctx, p, length, worst)
			if err != nil {
				return err
			}
			out, broken := cmd.OutOrStdout(), 0
			var shown []faults.Shown
			for _, f := range found {
				fmt.Fprintf(out, "lost=%.3f emulator=%.3f processes=%.3f rules_broken=%d script=%q\n", f.Lost,
					f.Emulated.Share, f.Played.Share, len(f.Emulated.Broken)+len(f.Played.Broken), faults.Words(f.Script))
				for _, b := range slices.Concat(f.Emulated.Broken, f.Played.Broken) {
					broken++
					fmt.Fprintln(out, b)
				}
				shown = append(shown, faults.Shown{Name: faults.Words(f.Script), Ends: []faults.End{f.Played, f.Emulated},
					Script: f.Script})
			}
			if report != "" {
				if err := faults.WriteReport(report, shown); err != nil {
					return err
				}
			}
			fmt.Fprintf(out, "SEARCH scripts=%d rules_broken=%d\n", played, broken)
			if broken > 0 {
				return errors.New("a rule was broken")
			}
			return nil
		},
	}
	planFlags(cmd, &p)
	cmd.Flags().DurationVar(&length, "search", 30*time.Second, "how long scripts are drawn")
	cmd.Flags().IntVar(&worst, "worst", 3, "so many are played on processes")
	cmd.Flags().StringVar(&report, "html", "", "write a report to a `file`")
	return cmd
}

func faultsMeasure(binary *string) *cobra.Command {
	p := faults.Default()
	var seeds, parallel int
	var scripts []string
	var report string
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Play the scripts that come with the program, and compare with a run without faults",
		Long: `Plays each script on processes and, where it can, in the emulator, beside runs without faults. The last line gives the scripts,
the rules that were broken, and for each script the worst second and the seconds until normal, from the end of the last fault
(median and worst over the seeds; -1: not within the run). It fails where a rule is broken. SHORT=1 plays the first four, once.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			p.Binary = *binary
			names := scripts
			if len(names) == 0 {
				for _, s := range faults.Scripts {
					names = append(names, s.Name)
				}
				if shortMode() {
					names, seeds, parallel, p.Length = names[:4], 1, 5, 24*time.Second
				}
			}
			shown, err := faults.Measure(ctx, p, names, seeds, parallel, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if report != "" {
				if err := faults.WriteReport(report, shown); err != nil {
					return err
				}
			}
			line, broken := faults.Figures(shown, normalMargin)
			fmt.Fprintln(cmd.OutOrStdout(), "FAULTS "+line)
			if broken > 0 {
				return errors.New("a rule was broken")
			}
			return nil
		},
	}
	planFlags(cmd, &p)
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 3, "seeds")
	f.IntVar(&parallel, "parallel", 3, "runs at once")
	f.StringSliceVar(&scripts, "scripts", nil, "some of them, or files")
	f.StringVar(&report, "html", "", "write a report to a `file`")
	return cmd
}

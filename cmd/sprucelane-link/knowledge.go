package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/cli"
	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/knowledge"
	"sprucelane.example/sprucelane/internal/knowledge/link"
)

// knowledgeCommand asks a gateway what it knows of the pool members.
func knowledgeCommand() *cobra.Command {
	var peer, cert, key, ca, name string
	var plain, asJSON bool
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "knowledge --peer ADDR",
		Short: "Print what a gateway knows of the pool members",
		Long: `Asks a gateway once for the facts it holds and prints a line for each: of which member, who saw it, how long ago, and
through how many hands it came.`,
		Example: `  sprucelane knowledge --peer 127.0.0.1:7950 --cert ops.pem --key ops.key --ca fleet-ca.pem
  sprucelane knowledge --peer 127.0.0.1:7950 --plain --json | jq .instance`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if peer == "" {
				return cli.ExitError{Code: cli.ExitUsage, Err: fmt.Errorf("peer: not set")}
			}
			var conf *link.TLS
			if !plain {
				server, client, err := config.MutualTLS(cert, key, ca, name)
				if err != nil {
					return cli.ExitError{Code: cli.ExitUsage, Err: err}
				}
				conf = &link.TLS{Server: server, Client: client}
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			picture, err := link.FetchPicture(ctx, peer, conf, "sprucelane knowledge")
			if err != nil {
				return fmt.Errorf("%s: %w", peer, err)
			}
			if asJSON {
				return printFacts(cmd.OutOrStdout(), picture)
			}
			return printFactTable(cmd.OutOrStdout(), picture)
		},
	}
	f := cmd.Flags()
	f.StringVar(&peer, "peer", "", "`address` where the gateway tells what it knows (knowledge.listen)")
	f.StringVar(&cert, "cert", "", "PEM `file` with a certificate that the gateway accepts")
	f.StringVar(&key, "key", "", "PEM `file` with its key")
	f.StringVar(&ca, "ca", "", "PEM `file` with the roots of the gateway's certificate")
	f.StringVar(&name, "server-name", "", "`name` that the gateway's certificate holds, if not the address's host")
	f.BoolVar(&plain, "plain", false, "speak without TLS")
	f.BoolVar(&asJSON, "json", false, "print a JSON object a line")
	f.DurationVar(&wait, "timeout", 3*time.Second, "how long to wait for the answer")
	return cmd
}

// facts gives a picture's facts by member and observer.
func sortedFacts(p *pb.Picture) []knowledge.Fact {
	list := link.FromWire(p, 0)
	slices.SortFunc(list, func(x, y knowledge.Fact) int {
		return cmp.Or(cmp.Compare(x.Instance, y.Instance), cmp.Compare(x.Observer.Name, y.Observer.Name))
	})
	return list
}

// printFacts writes a JSON object for each fact. Durations are in seconds.
func printFacts(to io.Writer, p *pb.Picture) error {
	out := json.NewEncoder(to)
	for _, f := range sortedFacts(p) {
		var answered *float64
		if f.Served() {
			s := f.Answered.Seconds()
			answered = &s
		}
		if err := out.Encode(map[string]any{"instance": f.Instance, "started_ms": f.StartedMs, "observer": f.Observer.Name,
			"observer_life": f.Birth, "seq": f.Seq, "hops": f.Hops, "age_s": f.Age.Seconds(), "stalled_s": f.Stalled.Seconds(),
			"lost": f.Lost, "ejected_s": f.Ejected.Seconds(), "pace": f.Pace, "answers": f.Answers, "answered_s": answered,
			"room": f.Room, "warmth": f.Warmth, "cold": f.Cold, "deaf_s": f.Deaf.Seconds(), "blind_s": f.Blind.Seconds()}); err != nil {
			return err
		}
	}
	return nil
}

func printFactTable(to io.Writer, p *pb.Picture) error {
	fmt.Fprintf(to, "%s: version %d, %.1f s without word from discovery, %.1f s without an answer, %d facts\n", p.GetTeller(),
		p.GetVersion(), float64(p.GetDeafMs())/1000, float64(p.GetBlindMs())/1000, len(p.GetFacts()))
	table := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tSTARTED\tOBSERVER\tHOPS\tAGE\tSTALLED\tLOST\tEJECTED\tPACE\tROOM\tWARMTH\tCOLD\tANSWERED")
	for _, f := range sortedFacts(p) {
		started, answered := "long ago", "never"
		if f.StartedMs > 0 {
			started = time.UnixMilli(f.StartedMs).Format(time.DateTime)
		}
		if f.Served() {
			answered = formatSeconds(f.Answered+f.Age) + " ago"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%.2f\t%.1f\t%.0f%%\t%d\t%s\n", f.Instance, started, f.Observer.Name,
			f.Hops, formatSeconds(f.Age), formatSeconds(f.Stalled), f.Lost, formatSeconds(f.Ejected), f.Pace, f.Room, 100*f.Warmth, f.Cold, answered)
	}
	return table.Flush()
}

func formatSeconds(d time.Duration) string {
	if d <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

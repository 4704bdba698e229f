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
	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/link"
)

// knowledgeCommand returns the command that asks a gateway for its knowledge of the servers, and prints the answer.
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

// sortedFacts returns the facts of a picture, sorted by server and observer.
func sortedFacts(p *pb.Picture) []knowledge.Fact {
	list := link.FromWire(p, 0)
	slices.SortFunc(list, func(x, y knowledge.Fact) int {
		return cmp.Or(cmp.Compare(x.Instance, y.Instance), cmp.Compare(x.Observer.Name, y.Observer.Name))
	})
	return list
}

// factJSON is the format in which --json prints a fact, with the keys in alphabetical order. Durations are in seconds.
// See knowledge.Fact.
type factJSON struct {
	Age          float64  `json:"age_s"`
	Answered     *float64 `json:"answered_s"` // null: the observer has received no answer
	Answers      float64  `json:"answers"`
	Blind        float64  `json:"blind_s"`
	Cold         int      `json:"cold"`
	Deaf         float64  `json:"deaf_s"`
	Ejected      float64  `json:"ejected_s"`
	Hops         int      `json:"hops"`
	Instance     string   `json:"instance"`
	Lost         int      `json:"lost"`
	Observer     string   `json:"observer"`
	ObserverLife uint64   `json:"observer_life"`
	Pace         float64  `json:"pace"`
	Room         float64  `json:"room"`
	Seq          uint64   `json:"seq"`
	Stalled      float64  `json:"stalled_s"`
	StartedMs    int64    `json:"started_ms"`
	Warmth       float64  `json:"warmth"`
}

// printFacts prints a JSON object for each fact.
func printFacts(to io.Writer, p *pb.Picture) error {
	out := json.NewEncoder(to)
	for _, f := range sortedFacts(p) {
		object := factJSON{
			Age:          f.Age.Seconds(),
			Answers:      f.Answers,
			Blind:        f.Blind.Seconds(),
			Cold:         f.Cold,
			Deaf:         f.Deaf.Seconds(),
			Ejected:      f.Ejected.Seconds(),
			Hops:         f.Hops,
			Instance:     f.Instance,
			Lost:         f.Lost,
			Observer:     f.Observer.Name,
			ObserverLife: f.Birth,
			Pace:         f.Pace,
			Room:         f.Room,
			Seq:          f.Seq,
			Stalled:      f.Stalled.Seconds(),
			StartedMs:    f.StartedMs,
			Warmth:       f.Warmth,
		}
		if f.Served() {
			answered := f.Answered.Seconds()
			object.Answered = &answered
		}
		if err := out.Encode(object); err != nil {
			return err
		}
	}
	return nil
}

// printFactTable prints a line about the gateway, and a table with a row for each fact.
func printFactTable(to io.Writer, p *pb.Picture) error {
	fmt.Fprintf(to, "%s: version %d, %.1f s without word from discovery, %.1f s without an answer, %d facts\n",
		p.GetTeller(), p.GetVersion(), float64(p.GetDeafMs())/1000, float64(p.GetBlindMs())/1000, len(p.GetFacts()))
	table := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table,
		"MEMBER\tSTARTED\tOBSERVER\tHOPS\tAGE\tSTALLED\tLOST\tEJECTED\tPACE\tROOM\tWARMTH\tCOLD\tANSWERED")
	for _, f := range sortedFacts(p) {
		started, answered := "long ago", "never"
		if f.StartedMs > 0 {
			started = time.UnixMilli(f.StartedMs).Format(time.DateTime)
		}
		if f.Served() {
			answered = formatSeconds(f.Answered+f.Age) + " ago"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%.2f\t%.1f\t%.0f%%\t%d\t%s\n", f.Instance, started,
			f.Observer.Name, f.Hops, formatSeconds(f.Age), formatSeconds(f.Stalled), f.Lost, formatSeconds(f.Ejected),
			f.Pace, f.Room, 100*f.Warmth, f.Cold, answered)
	}
	return table.Flush()
}

// formatSeconds formats a duration in seconds, and returns "-" if it is not positive.
func formatSeconds(d time.Duration) string {
	if d <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

// Command sprucelane-link connects a gateway to its peers, to exchange knowledge of the servers (package knowledge). A
// gateway that exchanges knowledge runs it as a child process, with the command "exchange". Operators use it through
// "sprucelane knowledge", which prints a gateway's knowledge of the servers. It is a separate program because gRPC
// would cost every gateway memory, including those that exchange no knowledge.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/logging"
)

func main() {
	os.Exit(cli.Main(newRootCommand(os.Getenv), func(err error) { slog.Error("failed", "err", err) }))
}

func newRootCommand(getenv func(string) string) *cobra.Command {
	var format, level string
	env := cli.EnvFlags("SPRUCELANE", getenv)
	root := &cobra.Command{Use: "sprucelane-link", Short: "A gateway's link to its peers; sprucelane starts it",
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		PersistentPreRunE: func(cmd *cobra.Command, args []string) error {
			if err := env(cmd, args); err != nil {
				return err
			}
			return logging.Set(os.Stderr, format, level)
		}}
	root.PersistentFlags().StringVar(&format, "log-format", "text", "form of log lines: text or json")
	root.PersistentFlags().StringVar(&level, "log-level", "info", "least level that is logged")
	root.AddCommand(knowledgeCommand(), &cobra.Command{Use: "exchange", Hidden: true, Args: cobra.NoArgs,
		Short: "Exchange knowledge for the gateway at the other end of standard input and output",
		RunE: func(*cobra.Command, []string) error {
			signal.Ignore(os.Interrupt) // a terminal sends it to the gateway as well, which then ends this program
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer stop()
			return exchange(ctx, os.Stdin, os.Stdout)
		}})
	return root
}

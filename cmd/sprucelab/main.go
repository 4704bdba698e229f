// Command sprucelab is the laboratory: demonstrations, load and the project's measurements, all on loopback or in
// virtual time. Each command has a file of its own with its flags, the bounds that it checks, and the last line that
// it prints; the work is done by internal/lab and internal/emulator.
//
// A measurement ends with one line of key=value pairs after a word in capitals, such as "STORM seeds=5 ...", which
// scripts and the journal of figures read. It exits with 1 if a bound is broken. With SHORT=1 in the environment it
// takes less than fifty seconds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/daemon/cli"
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
and clients are fakes in this one. Every flag has a variable: SPRUCELAB_ and the flag's name in capitals.`,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		PersistentPreRunE: cli.EnvFlags("SPRUCELAB", os.Getenv),
	}
	gateway := "sprucelane"
	if self, err := os.Executable(); err == nil { // the one that was built with this program
		gateway = filepath.Join(filepath.Dir(self), gateway)
	}
	root.PersistentFlags().StringVar(&binary, "gateway", gateway, "the gateway's `program`")
	root.AddCommand(
		demoCommand(&binary),
		loadCommand(&binary),
		costCommand(&binary),
		learningCommand(&binary),
		stormCommand(&binary),
		upgradeCommand(&binary),
		faultsCommand(&binary),
		recoveryCommand(&binary),
		simCommand(),
		deploymentsCommand(),
		systemCommand(),
		soakCommand(),
		&cobra.Command{Use: "version", Short: "Print the program's version", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "sprucelab", cli.Version())
				return err
			}},
	)
	return root
}

// interruptContext returns a context that ends with SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

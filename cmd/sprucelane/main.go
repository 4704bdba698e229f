package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/helper"
	"sprucelane.example/sprucelane/internal/daemon/logging"
)

// envPrefix is the prefix of the environment variables that set flags; see cli.EnvFlags.
const envPrefix = "SPRUCELANE"

func main() {
	os.Exit(cli.Main(newRootCommand(os.Getenv), func(err error) { slog.Error("failed", "err", err) }))
}

// newRootCommand returns the program's root command, which serves if no other command is given.
func newRootCommand(getenv func(string) string) *cobra.Command {
	var opt options
	var format, level string
	env := cli.EnvFlags(envPrefix, getenv)
	run := func(*cobra.Command, []string) error { return serve(getenv, opt) }
	root := &cobra.Command{
		Use:   "sprucelane",
		Short: "One gateway of a fleet that holds quotas over all of them together",
		Long: `One gateway of a fleet that holds quotas over all of them together.

Without a command it serves. What it serves is told by the file that ROUTER_CONFIG names, by ROUTER_NAME,
ROUTER_LISTEN and ROUTER_DISCOVERY, and by the operators' file (--site). Every flag has a variable: SPRUCELANE_ and the
flag's name in capitals, as SPRUCELANE_LOG_FORMAT.`,
		Args:              cobra.NoArgs,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		PersistentPreRunE: func(cmd *cobra.Command, args []string) error {
			if err := env(cmd, args); err != nil {
				return err
			}
			if err := logging.Set(os.Stderr, format, level); err != nil {
				return cli.ExitError{Code: cli.ExitUsage, Err: err}
			}
			return nil
		},
		RunE: run,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&opt.siteFile, "site", config.SiteFile, "the operators' own `file`; without it what it holds is off")
	flags.BoolVar(&opt.learnByDatagram, "learn-by-datagram", false,
		"ask the peers, once started, what they know of the pool members")
	flags.DurationVar(&opt.clockAhead, "clock-ahead", 0, "of the laboratory: how far this clock is ahead of others'")
	flags.MarkHidden("clock-ahead")
	flags.StringVar(&opt.linkProgram, "link-program", helper.ProgramPath(),
		"the `program` that links gateways where knowledge is on")
	flags.StringVar(&format, "log-format", "text", "`form` of log lines: text (key=value) or json")
	flags.StringVar(&level, "log-level", "info", "least `level` that is logged: debug, info, warn or error")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve until SIGTERM, as a bare start does", Args: cobra.NoArgs, RunE: run},
		checkCommand(getenv, &opt.siteFile),
		knowledgeCommand(&opt.linkProgram),
		storeCommand(),
		versionCommand(),
	)
	return root
}

// checkCommand returns the command that prints each error of the configuration on a separate line.
func checkCommand(getenv func(string) string, siteFile *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Read all configuration and say what is wrong with it, by key",
		Long: `Reads all configuration as serve would and opens nothing. Prints a line for every fault, with the key, and exits
with 2 where there is one; prints what the gateway would be and exits with 0 where there is none.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(getenv, *siteFile)
			if err != nil {
				errs := config.Errors(err)
				for _, err := range errs {
					fmt.Fprintln(cmd.OutOrStdout(), err)
				}
				return cli.ExitError{Code: cli.ExitUsage, Err: fmt.Errorf("configuration: %d faults", len(errs))}
			}
			fmt.Fprintln(cmd.OutOrStdout(), cfg.Summary())
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the program's version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "sprucelane", cli.Version())
			return err
		}}
}

// knowledgeCommand returns the command that runs the link program, which implements the protocol of the knowledge
// exchange and prints the answer. The command exits with that program's exit code.
func knowledgeCommand(program *string) *cobra.Command {
	return &cobra.Command{
		Use:   "knowledge --peer ADDR",
		Short: "Print what a gateway knows of the pool members",
		Long: "Prints what a gateway knows of the pool members. " +
			"The link program does it: --help tells its flags.",
		DisableFlagParsing: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			child := exec.Command(*program, append([]string{"knowledge"}, args...)...)
			child.Stdin, child.Stdout, child.Stderr = os.Stdin, cmd.OutOrStdout(), os.Stderr
			err := child.Run()
			if exitErr := (*exec.ExitError)(nil); errors.As(err, &exitErr) {
				return cli.ExitError{Code: exitErr.ExitCode(), Err: fmt.Errorf("%s: %w", *program, err)}
			}
			return err
		},
	}
}

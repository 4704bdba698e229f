package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/lab/faults"
)

func recoveryCommand(binary *string) *cobra.Command {
	p := faults.Default()
	p.Length = 26 * time.Second
	var seeds, parallel int
	cmd := &cobra.Command{
		Use:   "recovery",
		Short: "Measure how a fleet comes back, at several sizes, with a store and without",
		Long: `Plays scripts of restarts and standstills at 20, 100 and 300 gateways in the emulator and at 3 and 10 on processes, there with a
store and without, each beside an undisturbed run. The last line gives, for each case, the worth in the first 2, 10 and all seconds
over that of the undisturbed run, the seconds until normal, the slowest start to full service, and the most at a cold member over
what it could do. It fails on a broken rule or bound. SHORT=1 plays three scripts at the smallest sizes, once.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := interruptContext()
			defer stop()
			p.Binary = *binary
			if shortMode() {
				seeds, parallel, p.Length = 1, 8, 18*time.Second
			}
			list, err := faults.Recoveries(ctx, p, seeds, parallel, shortMode(), cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			line, failed := faults.BackFigures(list)
			fmt.Fprintln(cmd.OutOrStdout(), "RECOVERY "+line)
			if len(failed) > 0 {
				return errors.New(strings.Join(failed, "; "))
			}
			return nil
		},
	}
	planFlags(cmd, &p)
	cmd.Flags().IntVar(&seeds, "seeds", 2, "seeds")
	cmd.Flags().IntVar(&parallel, "parallel", 4, "runs at once")
	return cmd
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/internal/daemon/store/balances"
)

// storeCommand returns the operators' commands on a store's folder. No other process may have the folder open at the
// same time.
func storeCommand() *cobra.Command {
	root := &cobra.Command{Use: "store", Short: "Look at a store's folder, and mend it", Args: cobra.NoArgs,
		Long: "Looks at the folder that store.path names, and mends it. No gateway may have it open meanwhile."}
	for _, c := range []struct {
		use, short, long string
		run              func(out io.Writer, fs store.FS) error
	}{
		{"verify", "Read all of it and say what is wrong",
			"Reads all files without changing any. Exits with 1 where something acknowledged is lost.", verifyStore},
		{"repair", "Save what can be read, and list what is given up",
			"Writes all records that can be read into one new segment. " +
				"The files of before stay, under names that end in .damaged.", repairStore},
		{"inspect", "Say what it holds", "Opens the store and says what it holds.", inspectStore},
		{"compact", "Free what no longer counts", "Copies what counts and removes the rest.", compactStore},
		{"dump", "Print all of it, a line of JSON each", "Prints each record as a line of JSON.", dumpStore},
	} {
		root.AddCommand(&cobra.Command{Use: c.use + " FOLDER", Short: c.short, Long: c.long, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				fs, err := existingFolder(args[0])
				if err != nil {
					return cli.ExitError{Code: cli.ExitUsage, Err: err}
				}
				return c.run(cmd.OutOrStdout(), fs)
			}})
	}
	return root
}

// existingFolder opens a folder that exists. store.OpenDir alone would create one for a mistyped path.
func existingFolder(path string) (store.FS, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	return store.OpenDir(path)
}

func verifyStore(out io.Writer, fs store.FS) error {
	findings, err := store.Verify(fs)
	if bad := printFindings(out, findings); bad > 0 {
		err = errors.Join(err, fmt.Errorf("damaged: %d findings", bad))
	}
	return err
}

func repairStore(out io.Writer, fs store.FS) error {
	findings, err := store.Repair(fs)
	printFindings(out, findings)
	return err
}

func inspectStore(out io.Writer, fs store.FS) error {
	return withStore(fs, func(s *store.Store) error {
		counters, kinds := s.Counters(), map[string]int{}
		err := s.Each(nil, func(key, value []byte) bool {
			kinds[balances.Describe(key, value)["kind"].(string)]++
			return true
		})
		if err != nil {
			return err
		}
		id := s.ID()
		_, err = fmt.Fprintf(out, "id=%x epoch=%d entries=%d bytes=%d cut=%d recovery=%v kinds=%v\n", id[:], s.Epoch(),
			counters.Entries, counters.DiskBytes, counters.TruncatedBytes, counters.RecoveryTime, kinds)
		return err
	})
}

func compactStore(out io.Writer, fs store.FS) error {
	return withStore(fs, func(s *store.Store) error {
		before := s.Counters().DiskBytes
		if err := s.Compact(); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "bytes=%d before=%d\n", s.Counters().DiskBytes, before)
		return err
	})
}

func dumpStore(out io.Writer, fs store.FS) error {
	return withStore(fs, func(s *store.Store) error {
		encoder := json.NewEncoder(out)
		var encodeErr error
		err := s.Each(nil, func(key, value []byte) bool {
			encodeErr = encoder.Encode(balances.Describe(key, value))
			return encodeErr == nil
		})
		return errors.Join(err, encodeErr)
	})
}

// withStore opens the store, calls do with it and closes it.
func withStore(fs store.FS, do func(s *store.Store) error) error {
	s, err := store.Open(fs, store.Options{})
	if err != nil {
		return err
	}
	return errors.Join(do(s), s.Close())
}

// printFindings prints a line for each finding, and returns the number of findings with data loss.
func printFindings(out io.Writer, findings []store.Finding) (bad int) {
	for _, f := range findings {
		mark := "ok "
		if f.DataLoss {
			mark = "BAD"
			bad++
		}
		fmt.Fprintf(out, "%s %s byte %d: %s\n", mark, f.File, f.Offset, f.Description)
	}
	return bad
}

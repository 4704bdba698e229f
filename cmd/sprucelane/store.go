package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sprucelane.example/sprucelane/internal/cli"
	"sprucelane.example/sprucelane/internal/store"
	"sprucelane.example/sprucelane/internal/store/keep"
)

// storeCommand owns the operators' calls on a store's folder, which no process may have open meanwhile.
func storeCommand() *cobra.Command {
	root := &cobra.Command{Use: "store", Short: "Look at a store's folder, and mend it", Args: cobra.NoArgs,
		Long: "Looks at the folder that store.path names, and mends it. No gateway may have it open meanwhile."}
	on := func(use, short, long string, do func(cmd *cobra.Command, fs store.FS) error) {
		root.AddCommand(&cobra.Command{Use: use + " FOLDER", Short: short, Long: long, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				_, err := os.Stat(args[0])
				var fs store.FS
				if err == nil { // what looks must not make
					fs, err = store.OpenDir(args[0])
				}
				if err != nil {
					return cli.ExitError{Code: cli.ExitUsage, Err: err}
				}
				return do(cmd, fs)
			}})
	}
	on("verify", "Read all of it and say what is wrong", "Reads all files without changing any. Exits with 1 where something acknowledged is lost.",
		func(cmd *cobra.Command, fs store.FS) error {
			list, err := store.Verify(fs)
			return errors.Join(err, printFindings(cmd, list, "damaged"))
		})
	on("repair", "Save what can be read, and list what is given up", "Writes all records that can be read into one new segment. The files of before stay, under names that end in .damaged.",
		func(cmd *cobra.Command, fs store.FS) error {
			list, err := store.Repair(fs)
			printFindings(cmd, list, "")
			return err
		})
	open := func(fs store.FS, do func(s *store.Store) error) error {
		s, err := store.Open(fs, store.Options{})
		if err != nil {
			return err
		}
		return errors.Join(do(s), s.Close())
	}
	on("inspect", "Say what it holds", "Opens the store and says what it holds.", func(cmd *cobra.Command, fs store.FS) error {
		return open(fs, func(s *store.Store) error {
			c, kinds := s.Counters(), map[string]int{}
			if err := s.Each(nil, func(k, v []byte) bool { kinds[keep.Describe(k, v)["kind"].(string)]++; return true }); err != nil {
				return err
			}
			id := s.ID()
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "id=%x epoch=%d entries=%d bytes=%d cut=%d recovery=%v kinds=%v\n", id[:], s.Epoch(), c.Entries, c.DiskBytes, c.TruncatedBytes,
				c.RecoveryTime, kinds)
			return err
		})
	})
	on("compact", "Free what no longer counts", "Copies what counts and removes the rest.", func(cmd *cobra.Command, fs store.FS) error {
		return open(fs, func(s *store.Store) error {
			before := s.Counters().DiskBytes
			if err := s.Compact(); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "bytes=%d before=%d\n", s.Counters().DiskBytes, before)
			return err
		})
	})
	on("dump", "Print all of it, a line of JSON each", "Prints each record as a line of JSON.", func(cmd *cobra.Command, fs store.FS) error {
		return open(fs, func(s *store.Store) error {
			out := json.NewEncoder(cmd.OutOrStdout())
			var failed error
			err := s.Each(nil, func(k, v []byte) bool { failed = out.Encode(keep.Describe(k, v)); return failed == nil })
			return errors.Join(err, failed)
		})
	})
	return root
}

// say prints what was found, and is an error of some name where something was lost.
func printFindings(cmd *cobra.Command, list []store.Finding, name string) error {
	bad := 0
	for _, f := range list {
		mark := "ok "
		if f.DataLoss {
			mark = "BAD"
			bad++
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s %s byte %d: %s\n", mark, f.File, f.Offset, f.Description)
	}
	if bad > 0 && name != "" {
		return fmt.Errorf("%s: %d findings", name, bad)
	}
	return nil
}

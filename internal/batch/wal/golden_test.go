package wal

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/golden"
)

// TestGolden checks that segments are written byte for byte as by earlier versions, and that a recorded segment is
// replayed.
func TestGolden(t *testing.T) {
	directory := t.TempDir()
	written := open(t, directory, Options{Linger: time.Millisecond})
	sequence, _ := written.Append([]byte("one"), true)
	written.await(t, sequence)
	sequence, _ = written.Append([]byte("two"), true)
	written.await(t, sequence)
	written.Close()
	names, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("files %v, %v; want one segment", names, err)
	}
	data, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Base(names[0])
	copied := t.TempDir()
	if err := os.WriteFile(filepath.Join(copied, name), golden.Bytes(t, name, data), 0o600); err != nil {
		t.Fatal(err)
	}
	read := open(t, copied, Options{Linger: time.Millisecond})
	if len(read.replayed) != 2 || string(read.replayed[0]) != "one" || string(read.replayed[1]) != "two" {
		t.Errorf("replay of the recorded segment gave %q; want one and two", read.replayed)
	}
	read.Close()
}

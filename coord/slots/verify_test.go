package slots

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestVerifyReadsAndChangesNothing(t *testing.T) {
	folder := t.TempDir()
	if got, err := Verify(Directory(folder), Options{}); err != nil || got.Found {
		t.Fatalf("Verify of an empty folder: %+v, %v", got, err)
	}
	store, _, err := Open(Directory(folder), Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range []string{"one", "two"} {
		if err := store.Append([]byte(record)); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := Verify(Directory(folder), Options{})
	if err != nil || !got.Found || len(got.Records) != 2 {
		t.Fatalf("Verify: %+v, %v; want two records", got, err)
	}

	corruptFirstRecord(t, folder)
	before := filesOf(t, folder)
	if _, err := Verify(Directory(folder), Options{}); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("Verify with a corrupt first record: %v; want ErrCorrupt", err)
	}
	if after := filesOf(t, folder); after != before {
		t.Fatal("Verify changed the files")
	}
}

// corruptFirstRecord changes a byte of the first record, in the log that holds records.
func corruptFirstRecord(t *testing.T, folder string) {
	t.Helper()
	for _, name := range []string{"log-0", "log-1"} {
		path := filepath.Join(folder, name)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i := range text {
			if i+3 <= len(text) && string(text[i:i+3]) == "one" {
				text[i] = 'O'
				if err := os.WriteFile(path, text, 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
		}
	}
	t.Fatal("no log holds the first record")
}

// filesOf returns the names and contents of all files in a folder.
func filesOf(t *testing.T, folder string) string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	all := ""
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		all += entry.Name() + ":" + string(text) + "\n"
	}
	return all
}

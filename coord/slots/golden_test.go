package slots_test

import (
	"testing"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/golden"
	"sprucelane.example/sprucelane/internal/simulation"
)

// TestGolden compares the files of a store byte by byte with recorded ones of an earlier version, and opens the
// recorded ones.
func TestGolden(t *testing.T) {
	disk := simulation.NewDisk(simulation.NewRand(1))
	store, _ := mustOpen(t, disk)
	for _, step := range []func() error{
		func() error { return store.Append(texts("one", "two")...) },
		func() error { return store.Compact([]byte("one two")) },
		func() error { return store.Append(texts("three", "")...) },
		func() error { return store.Append(texts("four")...) },
		store.Close,
	} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	names, err := disk.List()
	if err != nil || len(names) != 4 {
		t.Fatalf("files %v, %v; want four", names, err)
	}
	copied := simulation.NewDisk(simulation.NewRand(2))
	for _, name := range names {
		data, err := disk.ReadAll(name)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, copied, name, golden.Bytes(t, "file-"+name, data))
	}
	_, recovered := mustOpen(t, copied)
	if got, want := contentsOf(recovered), "one two|three,,four"; got != want || len(recovered.Findings) > 0 {
		t.Errorf("the recorded files hold %q with findings %v; want %q without findings", got, recovered.Findings, want)
	}
}

// writeFile writes a file and makes it durable.
func writeFile(t *testing.T, fs slots.FS, name string, data []byte) {
	t.Helper()
	file, err := fs.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(data); err != nil {
		t.Fatal(err)
	}
	for _, step := range []func() error{file.Sync, file.Close, fs.SyncDir} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
}

package replica

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/view"
	"sprucelane.example/sprucelane/internal/simulation"
)

// TestTornLogIsReported opens a disk twice whose last record is torn. The truncation must be logged once, with the
// offset of the torn record.
func TestTornLogIsReported(t *testing.T) {
	disk := simulation.NewDisk(simulation.NewRand(1))
	store, _, err := slots.Open(disk, slots.Options{})
	saved := checkpoint{Self: view.Member{Node: "a", Incarnation: "1"}}
	err = errors.Join(err, store.Compact(encodeGob(&saved)), store.Append([]byte{recordProbe}))
	if err != nil {
		t.Fatal(err)
	}
	offset, _ := disk.Size("log-1")
	if err := store.Append([]byte{recordProbe, 1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	size, _ := disk.Size("log-1")
	disk.FlipBit("log-1", size-1, 0)
	disk.Kill()
	var logged []string
	for range 2 {
		node := &Node{options: Options{Disk: disk, Log: func(event string, fields ...any) {
			logged = append(logged, fmt.Sprint(event, fields))
		}}}
		recovered, err := node.openDisk()
		if err != nil || recovered.self != saved.Self {
			t.Fatal(recovered, err)
		}
		disk.Kill()
	}
	want := fmt.Sprint("disk_repaired", []any{"file", "log-1", "offset", offset, "problem", "torn record at the end"})
	if !slices.Equal(logged, []string{want}) {
		t.Fatalf("logged %q, want %q", logged, want)
	}
}

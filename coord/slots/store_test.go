package slots_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// texts returns the values as records.
func texts(values ...string) [][]byte {
	var records [][]byte
	for _, value := range values {
		records = append(records, []byte(value))
	}
	return records
}

// contentsOf returns a recovered state as the snapshot, a vertical bar and the records.
func contentsOf(recovered slots.Recovered) string {
	return fmt.Sprintf("%s|%s", recovered.Snapshot, bytes.Join(recovered.Records, []byte(",")))
}

// mustOpen opens or creates a store, and fails the test on an error.
func mustOpen(t testing.TB, fs slots.FS) (*slots.Store, slots.Recovered) {
	t.Helper()
	store, recovered, err := slots.Open(fs, slots.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return store, recovered
}

func TestStore(t *testing.T) {
	folders := map[string]func() slots.FS{
		"a folder":         func() slots.FS { return slots.Directory(t.TempDir()) },
		"a simulated disk": func() slots.FS { return simulation.NewDisk(simulation.NewRand(1)) },
	}
	for name, folder := range folders {
		Convey("Given a store in "+name, t, func() {
			fs := folder()
			store, recovered := mustOpen(t, fs)
			So(recovered.Found, ShouldBeFalse)

			Convey("an empty store is recovered as empty", func() {
				So(store.Close(), ShouldBeNil)
				_, recovered := mustOpen(t, fs)
				So(recovered.Found, ShouldBeTrue)
				So(contentsOf(recovered), ShouldEqual, "|")
				So(recovered.Findings, ShouldBeEmpty)
			})

			Convey("records and snapshots are recovered in order", func() {
				So(store.Append(texts("a", "", "b")...), ShouldBeNil)
				So(store.Append(texts("c")...), ShouldBeNil)
				So(store.Append(), ShouldBeNil)
				So(store.Verify(), ShouldBeNil)
				So(store.Close(), ShouldBeNil)
				store, recovered := mustOpen(t, fs)
				So(contentsOf(recovered), ShouldEqual, "|a,,b,c")
				So(store.Compact([]byte("abc")), ShouldBeNil)
				So(store.Append(texts("d")...), ShouldBeNil)
				So(store.Compact([]byte("abcd")), ShouldBeNil)
				empty := store.LogBytes()
				So(store.Append(texts("e")...), ShouldBeNil)
				So(store.LogBytes(), ShouldBeGreaterThan, empty)
				So(store.Verify(), ShouldBeNil)
				So(store.Close(), ShouldBeNil)
				_, recovered = mustOpen(t, fs)
				So(contentsOf(recovered), ShouldEqual, "abcd|e")
				So(recovered.Findings, ShouldBeEmpty)
			})

			Convey("a closed store rejects calls", func() {
				So(store.Close(), ShouldBeNil)
				So(store.Append(texts("a")...), ShouldEqual, slots.ErrClosed)
				So(store.Compact(nil), ShouldEqual, slots.ErrClosed)
			})

			Convey("after Wipe no store is found", func() {
				So(store.Append(texts("a")...), ShouldBeNil)
				So(store.Compact([]byte("a")), ShouldBeNil)
				So(store.Append(texts("b")...), ShouldBeNil)
				So(store.Close(), ShouldBeNil)
				So(slots.Wipe(fs, slots.Options{}), ShouldBeNil)
				names, err := fs.List()
				So(err, ShouldBeNil)
				So(names, ShouldBeEmpty)
				_, recovered := mustOpen(t, fs)
				So(recovered.Found, ShouldBeFalse)
			})

			Convey("stores with different prefixes share a folder", func() {
				other, _, err := slots.Open(fs, slots.Options{Prefix: "other-"})
				So(err, ShouldBeNil)
				So(other.Append(texts("theirs")...), ShouldBeNil)
				So(store.Append(texts("ours")...), ShouldBeNil)
				_, recovered := mustOpen(t, fs)
				So(contentsOf(recovered), ShouldEqual, "|ours")
			})
		})
	}
}

func TestLogTruncatedAtEveryByte(t *testing.T) {
	Convey("A log truncated at any byte yields the complete appends before that byte", t, func() {
		folder := t.TempDir()
		store, _ := mustOpen(t, slots.Directory(folder))
		want := map[int64]string{store.LogBytes(): "|"}
		ends := []int64{store.LogBytes()}
		for i := range 6 {
			if err := store.Append(texts(fmt.Sprint(i), "x")...); err != nil {
				t.Fatal(err)
			}
			ends = append(ends, store.LogBytes())
			_, recovered, err := slots.Open(slots.Directory(folder), slots.Options{})
			if err != nil {
				t.Fatal(err)
			}
			want[store.LogBytes()] = contentsOf(recovered)
		}
		path := filepath.Join(folder, "log-0")
		whole, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		last := int64(len(whole))
		for length := last; length >= ends[0]; length-- {
			if err := os.WriteFile(path, whole[:length], 0o600); err != nil {
				t.Fatal(err)
			}
			end := ends[0]
			for _, candidate := range ends {
				if candidate <= length {
					end = candidate
				}
			}
			store, recovered := mustOpen(t, slots.Directory(folder))
			if contentsOf(recovered) != want[end] || store.LogBytes() != end {
				t.Fatalf("truncated at %d: %s, want %s", length, contentsOf(recovered), want[end])
			}
			if len(recovered.Findings) > 0 != (length > end) || recovered.DataLoss() {
				t.Fatalf("truncated at %d: findings %v", length, recovered.Findings)
			}
		}
		for length := range ends[0] {
			if err := os.WriteFile(path, whole[:length], 0o600); err != nil {
				t.Fatal(err)
			}
			_, recovered, err := slots.Open(slots.Directory(folder), slots.Options{})
			if !errors.Is(err, slots.ErrCorrupt) || !recovered.Found {
				t.Fatalf("header truncated at %d: error %v; want ErrCorrupt", length, err)
			}
		}
	})
}

func TestEveryFlippedBit(t *testing.T) {
	Convey("A flipped bit is never accepted as valid contents", t, func() {
		build := func() (*simulation.Disk, *slots.Store) {
			disk := simulation.NewDisk(simulation.NewRand(1))
			store, _ := mustOpen(t, disk)
			failure := errors.Join(
				store.Append(texts("a")...),
				store.Compact([]byte("a")),
				store.Append(texts("b")...),
				store.Append(texts("c")...),
				store.Append(texts("d")...),
			)
			if failure != nil {
				t.Fatal(failure)
			}
			return disk, store
		}
		const whole = "a|b,c,d"
		for _, name := range []string{"slot-1", "log-1"} {
			disk, _ := build()
			size, err := disk.Size(name)
			So(err, ShouldBeNil)
			for offset := range size {
				disk, store := build()
				disk.FlipBit(name, offset, int(offset))
				if store.Verify() == nil {
					t.Fatalf("%s at %d: Verify didn't detect the flipped bit", name, offset)
				}
				_, recovered, err := slots.Open(disk, slots.Options{})
				lastBatch := name == "log-1" && offset >= size-14
				switch {
				case lastBatch && (err != nil || contentsOf(recovered) != "a|b,c"):
					t.Fatalf("%s at %d: %s, %v", name, offset, contentsOf(recovered), err)
				case !lastBatch && (!errors.Is(err, slots.ErrCorrupt) || !recovered.DataLoss()):
					t.Fatalf("%s at %d: %s, %v", name, offset, contentsOf(recovered), err)
				}
			}
		}
		disk, _ := build()
		_, recovered := mustOpen(t, disk)
		So(contentsOf(recovered), ShouldEqual, whole)
	})
}

func TestFullDisk(t *testing.T) {
	Convey("Given a store on a disk that fills up", t, func() {
		disk := simulation.NewDisk(simulation.NewRand(1))
		store, _ := mustOpen(t, disk)
		So(store.Append(texts("a")...), ShouldBeNil)
		used := store.LogBytes()
		disk.SetCapacity(200)
		large := make([]byte, 300)

		Convey("an append that doesn't fit is reported and leaves nothing behind", func() {
			err := store.Append(large)
			So(errors.Is(err, slots.ErrDiskFull), ShouldBeTrue)
			So(store.LogBytes(), ShouldEqual, used)
			So(store.Append(texts("b")...), ShouldBeNil)
			_, recovered := mustOpen(t, disk)
			So(contentsOf(recovered), ShouldEqual, "|a,b")
			So(recovered.Findings, ShouldBeEmpty)
		})

		Convey("a snapshot that doesn't fit is reported and the old state stays in use", func() {
			err := store.Compact(large)
			So(errors.Is(err, slots.ErrDiskFull), ShouldBeTrue)
			So(store.Append(texts("b")...), ShouldBeNil)
			_, recovered := mustOpen(t, disk)
			So(contentsOf(recovered), ShouldEqual, "|a,b")
			disk.SetCapacity(0)
			So(store.Compact([]byte("ab")), ShouldBeNil)
			_, recovered = mustOpen(t, disk)
			So(contentsOf(recovered), ShouldEqual, "ab|")
		})
	})
}

package slots_test

import (
	"fmt"
	"io"
	"testing"

	"sprucelane.example/sprucelane/coord/slots"
)

// discardingFS is a folder whose files discard all writes, so that the benchmark measures only the work of the
// store itself.
type discardingFS struct{ slots.FS }

func (d discardingFS) Open(string) (slots.File, error) { return discardFile{}, nil }

// discardFile is an empty file that discards all writes.
type discardFile struct{}

func (discardFile) Write(data []byte) (int, error)    { return len(data), nil }
func (discardFile) ReadAt([]byte, int64) (int, error) { return 0, io.EOF }
func (discardFile) Truncate(int64) error              { return nil }
func (discardFile) Sync() error                       { return nil }
func (discardFile) Close() error                      { return nil }

// BenchmarkAppend measures one append of one record, once with only the store's own work and once with write and
// sync on a real disk.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{100, 4 << 10} {
		record := make([]byte, size)
		for name, folder := range map[string]slots.FS{
			"own":  discardingFS{slots.Directory(b.TempDir())},
			"disk": slots.Directory(b.TempDir()),
		} {
			b.Run(fmt.Sprintf("%s/bytes=%d", name, size), func(b *testing.B) {
				store, _ := mustOpen(b, folder)
				defer store.Close()
				b.ReportAllocs()
				for b.Loop() {
					if err := store.Append(record); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

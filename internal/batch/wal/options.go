package wal

import "time"

// Sizes in bytes.
const (
	// DefaultSegmentSize is the default of Options.SegmentSize.
	DefaultSegmentSize = 16 << 20
	// MaxRecordSize is the largest payload that can be read back.
	MaxRecordSize = 64 << 20

	readBufferSize = 128 << 10
)

// DefaultLinger is the default of Options.Linger.
const DefaultLinger = 50 * time.Millisecond

// Options configures a log. Zero values select the defaults.
type Options struct {
	// SegmentSize is the size in bytes that a segment must not exceed, unless it has a single larger record; a
	// record that would make it larger begins a new segment. Space is reclaimed in whole segments, so smaller
	// segments are reclaimed sooner, but need more files and syncs. Default: DefaultSegmentSize.
	SegmentSize int64

	// Linger is how long records that are not urgent may wait for other records to be synced with. A longer time
	// saves syncs, but makes records durable later. Default: DefaultLinger. Log doesn't use it.
	Linger time.Duration

	// OnSkipped is called for each part of the log that is corrupt and can't be a torn write, in order with
	// the records that are replayed before and after it. The part is left in the file unchanged. If OnSkipped
	// is nil, a log with such a part isn't opened.
	OnSkipped func(Location)

	// OnTruncated is called with the tail of the last segment that has records, if the tail can't be read and is
	// truncated. Such a tail is the rest of a group that was never synced, left by a loss of power or a kill, or
	// the result of corruption of the group that was synced last, which looks the same.
	OnTruncated func(Location)
}

package wal

import "time"

// Sizes in bytes.
const (
	// DefaultSegmentSize is the size from which a new segment is begun, where Options doesn't set one.
	DefaultSegmentSize = 16 << 20
	// MaxRecordSize is the largest payload that is read back.
	MaxRecordSize = 64 << 20

	readBufferSize = 128 << 10
)

// DefaultLinger is the Linger where Options doesn't set one.
const DefaultLinger = 50 * time.Millisecond

// Options adjust a log. Zero values select the defaults.
type Options struct {
	// SegmentSize is the size in bytes from which a new segment is begun. Space is reclaimed by whole
	// segments, so smaller ones are reclaimed sooner, and cost more files and syncs. Default:
	// DefaultSegmentSize.
	SegmentSize int64

	// Linger is how long records that are not urgent may wait for others that are synced with them. A
	// longer time saves syncs and makes records durable later. Default: DefaultLinger. Log doesn't use it.
	Linger time.Duration

	// OnSkipped is called for each part of the log that is corrupt and can't be a torn write, in order with
	// the records that are replayed before and after it. The part stays in the file as it is. If nil, such
	// a log isn't opened.
	OnSkipped func(Location)

	// OnTruncated is called with the tail of the last segment that has records, if that can't be read and
	// is truncated: what a loss of power or a kill left of a group that was never synced, or corruption of
	// the group that was synced last, which looks the same.
	OnTruncated func(Location)
}

package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"

	"sprucelane.example/sprucelane/coord/slots"
)

// ErrDiskFull is returned by Step while the disk is full. Step may be called again at any time, and continues
// where it stopped.
var ErrDiskFull = errors.New("wal: the disk is full")

// ErrCorrupt is wrapped by the error for a record that doesn't match its checksum and can't be a torn write.
var ErrCorrupt = errors.New("wal: corrupt record")

// Location is the position of a payload, or of another range of bytes, in the log. It is valid until its segment
// is removed.
type Location struct {
	Segment uint32 // number of the segment
	Offset  uint32 // from the start of the segment, bytes
	Length  uint32 // bytes
}

// Part returns the location of a range of bytes within l. offset is relative to the start of l.
func (l Location) Part(offset, length uint32) Location {
	return Location{Segment: l.Segment, Offset: l.Offset + offset, Length: length}
}

// Log is an open log that is written by calls of Step. Step must be called from one goroutine at a time; the
// other methods may be called from any goroutine.
type Log struct {
	fs          slots.FS
	segmentSize int64 // size from which a new segment is begun, bytes

	mutex sync.Mutex // guards the fields of this block

	queue           []queuedRecord // records that were appended and not yet taken by Step, in order
	lastAppended    uint64         // sequence number
	lastSynced      uint64         // sequence number, never above lastAppended
	segments        map[uint32]*segment
	activeSegment   uint32 // number of the segment that Step writes to; all records of lower segments are synced
	tailSegment     uint32 // number of the segment for the next appended record; activeSegment or higher
	tailSize        int64  // size of the tail segment including its queued records, bytes
	totalSize       int64  // size of all segments including queued records, bytes
	diskFull        bool   // the last write or segment creation found the disk full
	removalUnsynced bool   // a segment's file was removed and the directory was not synced since

	// The fields below may be used only by the goroutine that calls Step.

	batch       []queuedRecord // records taken from the queue that are not yet part of a group
	active      *segment       // segment that records are written to
	unwritten   []byte         // unwritten rest of the current group
	lastInGroup uint64         // sequence number of the last record of the group
	unsynced    bool           // the group is written but not synced
}

// queuedRecord is an encoded record with the number of the segment that it will be written to.
type queuedRecord struct {
	segment uint32
	record  []byte
}

// segment is an open segment file.
type segment struct {
	number uint32
	file   slots.File
	size   int64 // bytes that were written, or during recovery bytes that were replayed or skipped
}

// segmentName returns the name of a segment's file.
func segmentName(number uint32) string { return fmt.Sprintf("segment-%08d", number) }

// Append queues a record, whose payload must not be empty, and returns its sequence number and the location
// that the payload will have. Sequence numbers start at 1 in each incarnation.
func (l *Log) Append(payload []byte) (uint64, Location) {
	record := encodeRecord(payload)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.tailSize > 0 && l.tailSize+int64(len(record)) > l.segmentSize {
		l.tailSegment++
		l.tailSize = 0
	}
	location := Location{Segment: l.tailSegment, Offset: uint32(l.tailSize + headerSize), Length: uint32(len(payload))}
	l.tailSize += int64(len(record))
	l.totalSize += int64(len(record))
	l.lastAppended++
	l.queue = append(l.queue, queuedRecord{segment: l.tailSegment, record: record})
	return l.lastAppended, location
}

// Durable returns the sequence number of the last record that is synced, 0 if there is none.
func (l *Log) Durable() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastSynced
}

// DiskFull reports whether the last write or segment creation failed because the disk was full.
func (l *Log) DiskFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.diskFull
}

// Size returns the size of the log in bytes, including queued records.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.totalSize
}

// Read reads the durable payload, or the part of one, at a location. It returns fs.ErrNotExist if the segment
// was removed.
func (l *Log) Read(at Location) ([]byte, error) {
	l.mutex.Lock()
	s := l.segments[at.Segment]
	l.mutex.Unlock()
	if s == nil {
		return nil, fs.ErrNotExist
	}
	payload := make([]byte, at.Length)
	if _, err := s.file.ReadAt(payload, int64(at.Offset)); err != nil {
		return nil, err
	}
	return payload, nil
}

// closeFiles closes all segments. Errors are ignored, because all durable records were synced.
func (l *Log) closeFiles() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range l.segments {
		_ = s.file.Close()
	}
}

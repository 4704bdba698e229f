package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"syscall"

	"sprucelane.example/sprucelane/coord/slots"
)

// ErrFull is given by Step while the disk takes no more bytes. It may be called again at any time.
var ErrDiskFull = errors.New("journal: the disk is full")

// Log is an open log that is written as Step is called. Step is called from one goroutine, the other methods from any.
type Log struct {
	fs          slots.FS
	segmentSize int64 // size from which a new segment is begun, bytes

	mutex           sync.Mutex
	queue           []queuedRecord // in order
	lastAppended    uint64         // of the last record appended
	lastSynced      uint64         // of the last record synced
	segments        map[uint32]*segment
	activeSegment   uint32 // number of the segment being written; those before it are whole on the disk
	tailSegment     uint32 // of the segment that the next record goes to
	tailSize        int64  // of that segment with what is queued
	totalSize       int64  // of all segments with what is queued
	diskFull        bool   // the disk took no more bytes
	removalUnsynced bool   // a segment's name was removed, and that may not be durable

	// What follows is Step's own.
	batch       []queuedRecord // taken from the queue
	active      *segment       // that is written to
	unwritten   []byte         // of the group of records that is being written
	lastInGroup uint64         // number of the last record of that group
	unsynced    bool           // the group is written and not synced
}

// entry is a record with its head on its way to a segment.
type queuedRecord struct {
	segment uint32
	record  []byte
}

type segment struct {
	number uint32
	file   slots.File
	size   int64
}

func segmentName(number uint32) string { return fmt.Sprintf("segment-%08d", number) }

// Append queues a record, which is not empty, and gives its number and where it will stand.
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

// Step does the next thing that is to be done with the disk for the records appended: it begins a segment, writes a group
// of records to it, or syncs that. It tells whether there is more to do.
func (l *Log) Step() (more bool, err error) {
	switch {
	case len(l.unwritten) > 0:
		return true, l.writeGroup()
	case l.unsynced:
		return true, l.syncGroup()
	case len(l.batch) == 0 && !l.takeQueue():
		return false, nil
	case l.active.number != l.batch[0].segment:
		return true, l.createSegment(l.batch[0].segment)
	default:
		l.formGroup()
		return true, l.writeGroup()
	}
}

// take takes what is queued as the next batch. It tells whether there is anything.
func (l *Log) takeQueue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.batch, l.queue = l.queue, nil
	return len(l.batch) > 0
}

// group makes the records of the batch that go to the current segment the next to be written. All before them is synced, as
// the mark on the first says.
func (l *Log) formGroup() {
	setMarker(l.batch[0].record, l.active.number, l.active.size)
	count, size := 0, 0
	for count < len(l.batch) && l.batch[count].segment == l.active.number {
		size += len(l.batch[count].record)
		count++
	}
	l.unwritten = l.batch[0].record
	if count > 1 {
		l.unwritten = make([]byte, 0, size)
		for _, e := range l.batch[:count] {
			l.unwritten = append(l.unwritten, e.record...)
		}
	}
	l.lastInGroup += uint64(count)
	l.batch = l.batch[count:]
}

// write writes the group, or what is left of it, at the end of the current segment.
func (l *Log) writeGroup() error {
	count, err := l.active.file.Write(l.unwritten)
	l.active.size += int64(count)
	l.unwritten = l.unwritten[count:]
	if err == nil {
		l.unwritten, l.unsynced = nil, true
	}
	return l.noteDiskFull(err)
}

// sync makes the group durable.
func (l *Log) syncGroup() error {
	if err := l.active.file.Sync(); err != nil {
		return err
	}
	l.unsynced = false
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastSynced = l.lastInGroup
	return nil
}

// begin makes a new segment and has it last. All records of earlier ones are synced.
func (l *Log) createSegment(number uint32) error {
	file, err := l.fs.Create(segmentName(number))
	if err != nil {
		return l.noteDiskFull(err)
	}
	if err := errors.Join(file.Sync(), l.fs.SyncDir()); err != nil {
		return errors.Join(l.noteDiskFull(err), file.Close())
	}
	l.active = &segment{number: number, file: file}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.segments[number] = l.active
	l.activeSegment = number
	return nil
}

// noteFull notes whether the disk took what it was given.
func (l *Log) noteDiskFull(err error) error {
	full := errors.Is(err, syscall.ENOSPC)
	l.mutex.Lock()
	l.diskFull = full
	l.mutex.Unlock()
	if full {
		return ErrDiskFull
	}
	return err
}

// Durable gives the number of the last record that is synced. Numbers count from 1 in this life.
func (l *Log) Durable() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastSynced
}

// Full tells that the disk took no more bytes when it was last written to.
func (l *Log) DiskFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.diskFull
}

// Size tells how many bytes the log takes, with what is queued.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.totalSize
}

// Oldest gives the number of the oldest segment, and that of the one being written.
func (l *Log) SegmentRange() (oldest, current uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.oldestNumber(), l.activeSegment
}

func (l *Log) oldestNumber() uint32 {
	oldest := l.activeSegment
	for number := range l.segments {
		oldest = min(oldest, number)
	}
	return oldest
}

// Read gives the payload at a location, or a part of it, once it is durable.
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

// Release removes the oldest segment. Only the oldest may go, and only once those removed before it are gone for good: a
// later record may be what ends an earlier one, which must not come back without it.
func (l *Log) RemoveSegment(number uint32) error {
	if err := l.syncRemoval(); err != nil {
		return err
	}
	l.mutex.Lock()
	s := l.segments[number]
	if s == nil || number == l.activeSegment || number != l.oldestNumber() {
		l.mutex.Unlock()
		return fs.ErrNotExist
	}
	delete(l.segments, number)
	l.totalSize -= s.size
	l.removalUnsynced = true
	l.mutex.Unlock()
	if err := s.file.Close(); err != nil {
		return err
	}
	if err := l.fs.Remove(segmentName(number)); err != nil {
		return err
	}
	return l.syncRemoval()
}

// settleRemoved has the names of segments that were removed gone for good.
func (l *Log) syncRemoval() error {
	l.mutex.Lock()
	removed := l.removalUnsynced
	l.mutex.Unlock()
	if !removed {
		return nil
	}
	if err := l.fs.SyncDir(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removalUnsynced = false
	return nil
}

func (l *Log) closeFiles() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range l.segments {
		_ = s.file.Close()
	}
}

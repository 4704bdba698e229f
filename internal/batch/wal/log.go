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
var ErrFull = errors.New("journal: the disk is full")

// Log is an open log that is written as Step is called. Step is called from one goroutine, the other methods from any.
type Log struct {
	fs      slots.FS
	segment int64 // size from which a new segment is begun, bytes

	mutex    sync.Mutex
	queue    []entry // in order
	sequence uint64  // of the last record appended
	durable  uint64  // of the last record synced
	segments map[uint32]*segment
	writing  uint32 // number of the segment being written; those before it are whole on the disk
	number   uint32 // of the segment that the next record goes to
	size     int64  // of that segment with what is queued
	total    int64  // of all segments with what is queued
	full     bool   // the disk took no more bytes
	removed  bool   // a segment's name was removed, and that may not be durable

	// What follows is Step's own.
	batch   []entry  // taken from the queue
	current *segment // that is written to
	rest    []byte   // of the group of records that is being written
	written uint64   // number of the last record of that group
	dirty   bool     // the group is written and not synced
}

// entry is a record with its head on its way to a segment.
type entry struct {
	segment uint32
	record  []byte
}

type segment struct {
	number uint32
	file   slots.File
	size   int64
}

func name(number uint32) string { return fmt.Sprintf("segment-%08d", number) }

// Append queues a record, which is not empty, and gives its number and where it will stand.
func (l *Log) Append(payload []byte) (uint64, Location) {
	record := encodeRecord(payload)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.size > 0 && l.size+int64(len(record)) > l.segment {
		l.number++
		l.size = 0
	}
	location := Location{Segment: l.number, Offset: uint32(l.size + headSize), Length: uint32(len(payload))}
	l.size += int64(len(record))
	l.total += int64(len(record))
	l.sequence++
	l.queue = append(l.queue, entry{segment: l.number, record: record})
	return l.sequence, location
}

// Step does the next thing that is to be done with the disk for the records appended: it begins a segment, writes a group
// of records to it, or syncs that. It tells whether there is more to do.
func (l *Log) Step() (more bool, err error) {
	switch {
	case len(l.rest) > 0:
		return true, l.write()
	case l.dirty:
		return true, l.sync()
	case len(l.batch) == 0 && !l.take():
		return false, nil
	case l.current.number != l.batch[0].segment:
		return true, l.begin(l.batch[0].segment)
	default:
		l.group()
		return true, l.write()
	}
}

// take takes what is queued as the next batch. It tells whether there is anything.
func (l *Log) take() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.batch, l.queue = l.queue, nil
	return len(l.batch) > 0
}

// group makes the records of the batch that go to the current segment the next to be written. All before them is synced, as
// the mark on the first says.
func (l *Log) group() {
	mark(l.batch[0].record, l.current.number, l.current.size)
	count, size := 0, 0
	for count < len(l.batch) && l.batch[count].segment == l.current.number {
		size += len(l.batch[count].record)
		count++
	}
	l.rest = l.batch[0].record
	if count > 1 {
		l.rest = make([]byte, 0, size)
		for _, e := range l.batch[:count] {
			l.rest = append(l.rest, e.record...)
		}
	}
	l.written += uint64(count)
	l.batch = l.batch[count:]
}

// write writes the group, or what is left of it, at the end of the current segment.
func (l *Log) write() error {
	count, err := l.current.file.Write(l.rest)
	l.current.size += int64(count)
	l.rest = l.rest[count:]
	if err == nil {
		l.rest, l.dirty = nil, true
	}
	return l.noteFull(err)
}

// sync makes the group durable.
func (l *Log) sync() error {
	if err := l.current.file.Sync(); err != nil {
		return err
	}
	l.dirty = false
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.durable = l.written
	return nil
}

// begin makes a new segment and has it last. All records of earlier ones are synced.
func (l *Log) begin(number uint32) error {
	file, err := l.fs.Create(name(number))
	if err != nil {
		return l.noteFull(err)
	}
	if err := errors.Join(file.Sync(), l.fs.SyncDir()); err != nil {
		return errors.Join(l.noteFull(err), file.Close())
	}
	l.current = &segment{number: number, file: file}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.segments[number] = l.current
	l.writing = number
	return nil
}

// noteFull notes whether the disk took what it was given.
func (l *Log) noteFull(err error) error {
	full := errors.Is(err, syscall.ENOSPC)
	l.mutex.Lock()
	l.full = full
	l.mutex.Unlock()
	if full {
		return ErrFull
	}
	return err
}

// Durable gives the number of the last record that is synced. Numbers count from 1 in this life.
func (l *Log) Durable() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.durable
}

// Full tells that the disk took no more bytes when it was last written to.
func (l *Log) Full() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.full
}

// Size tells how many bytes the log takes, with what is queued.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}

// Oldest gives the number of the oldest segment, and that of the one being written.
func (l *Log) Oldest() (oldest, current uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.oldest(), l.writing
}

func (l *Log) oldest() uint32 {
	oldest := l.writing
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
func (l *Log) Release(number uint32) error {
	if err := l.settleRemoved(); err != nil {
		return err
	}
	l.mutex.Lock()
	s := l.segments[number]
	if s == nil || number == l.writing || number != l.oldest() {
		l.mutex.Unlock()
		return fs.ErrNotExist
	}
	delete(l.segments, number)
	l.total -= s.size
	l.removed = true
	l.mutex.Unlock()
	if err := s.file.Close(); err != nil {
		return err
	}
	if err := l.fs.Remove(name(number)); err != nil {
		return err
	}
	return l.settleRemoved()
}

// settleRemoved has the names of segments that were removed gone for good.
func (l *Log) settleRemoved() error {
	l.mutex.Lock()
	removed := l.removed
	l.mutex.Unlock()
	if !removed {
		return nil
	}
	if err := l.fs.SyncDir(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removed = false
	return nil
}

func (l *Log) closeFiles() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range l.segments {
		_ = s.file.Close()
	}
}

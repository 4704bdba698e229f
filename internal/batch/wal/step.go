package wal

import (
	"errors"
	"syscall"
)

// Step does the next disk operation for the appended records: it creates a segment, writes a group of records to
// it, or syncs that group. It reports whether there may be more to do. A group consists of all records that were
// queued for one segment when Step took them from the queue.
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

// takeQueue takes the queued records as the next batch. It reports whether there are any.
func (l *Log) takeQueue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.batch, l.queue = l.queue, nil
	return len(l.batch) > 0
}

// formGroup makes the batch's records for the active segment the group to write next. All records before them are
// synced, as the marker on the first of them states.
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
		for _, queued := range l.batch[:count] {
			l.unwritten = append(l.unwritten, queued.record...)
		}
	}
	l.lastInGroup += uint64(count)
	l.batch = l.batch[count:]
}

// writeGroup writes the unwritten rest of the group to the end of the active segment.
func (l *Log) writeGroup() error {
	count, err := l.active.file.Write(l.unwritten)
	l.active.size += int64(count)
	l.unwritten = l.unwritten[count:]
	if err == nil {
		l.unwritten, l.unsynced = nil, true
	}
	return l.noteDiskFull(err)
}

// syncGroup makes the group durable.
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

// createSegment creates a segment durably and makes it the active one. All records of earlier segments must be
// synced.
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

// noteDiskFull records whether err, the result of a write or of a segment creation, means that the disk is full.
// It returns ErrDiskFull if so, and err otherwise.
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

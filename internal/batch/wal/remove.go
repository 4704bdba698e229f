package wal

import "io/fs"

// SegmentRange returns the numbers of the oldest segment and of the segment that is being written.
func (l *Log) SegmentRange() (oldest, active uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.oldestNumber(), l.activeSegment
}

// oldestNumber returns the number of the oldest segment. The mutex is held.
func (l *Log) oldestNumber() uint32 {
	oldest := l.activeSegment
	for number := range l.segments {
		oldest = min(oldest, number)
	}
	return oldest
}

// RemoveSegment removes the oldest segment durably. It returns fs.ErrNotExist if the number is not that of the
// oldest segment, or is that of the active one. Segments are removed oldest first, and each only once the removal
// before it is durable: a later record may cancel an earlier one, which must not be replayed without it.
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

// syncRemoval makes the last removal durable if it isn't yet.
func (l *Log) syncRemoval() error {
	l.mutex.Lock()
	unsynced := l.removalUnsynced
	l.mutex.Unlock()
	if !unsynced {
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

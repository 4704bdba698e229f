package store

import (
	"fmt"
	"time"
)

// Write applies a batch and gives back once it is as durable as asked.
func (s *Store) Write(b *Batch, d Durability) error {
	if len(b.records) == 0 {
		return nil
	}
	size := 0
	for _, r := range b.records {
		if len(r.key) == 0 || len(r.key) > MaxKeySize || len(r.value) > MaxValueSize {
			return fmt.Errorf("store: a key has 1 to %d bytes, a value up to %d", MaxKeySize, MaxValueSize)
		}
		size += r.size()
	}
	s.mu.Lock()
	for len(s.pending) > maxPendingBytes && s.writeErr == nil && !s.closed {
		s.wakeFlusher()
		s.flushDone.Wait()
	}
	switch {
	case s.writeErr != nil:
		defer s.mu.Unlock()
		return s.writeErr
	case s.closed:
		defer s.mu.Unlock()
		return ErrClosed
	case s.totalBytes+int64(size) > s.opt.MaxBytes || len(s.index)+len(b.records) > s.opt.MaxEntries:
		defer s.mu.Unlock()
		return ErrLimitExceeded
	}
	last := s.manifest.segments[len(s.manifest.segments)-1].number
	for i, r := range b.records {
		s.lastSeq++
		r.seq, r.durableSeq, r.batchEnd = s.lastSeq, s.durableSeq, i == len(b.records)-1
		at := s.pendingOffset + int64(len(s.pending))
		s.pending = r.appendTo(s.pending)
		e := &indexEntry{seq: r.seq, value: r.value, location: location{last, at, uint32(r.size())}, tombstone: r.kind == kindDelete}
		if e.value == nil {
			e.value = []byte{}
		}
		s.indexPut(string(r.key), e)
		s.pendingEntries = append(s.pendingEntries, e)
		s.totalBytes += int64(r.size())
		s.counters.UserBytes += uint64(len(r.key) + len(r.value))
	}
	s.counters.Writes++
	mine := s.group
	s.mu.Unlock()
	switch d {
	case Buffered:
		return nil
	case Immediate:
		return s.flush()
	}
	s.wakeFlusher()
	<-mine.done
	return mine.err
}

// put makes an entry its key's newest. The mutex is held.
func (s *Store) indexPut(key string, e *indexEntry) {
	if old := s.index[key]; old != nil {
		if old.seq > e.seq {
			return
		}
		s.liveBytes[old.location.segment] -= int64(old.location.size)
		if e.prev = old; old.seq > max(s.durableSeq, s.flushingSeq) { // neither is on disk or on its way: the older one never matters
			e.prev = old.prev
		}
	}
	s.liveBytes[e.location.segment] += int64(e.location.size)
	s.index[key] = e
}

// count works out anew how many bytes all segments have. The mutex is held.
func (s *Store) recountBytes() {
	s.totalBytes = int64(len(s.pending))
	for _, size := range s.segmentSizes {
		s.totalBytes += size
	}
}

// nudge has the flusher work now.
func (s *Store) wakeFlusher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flusher writes what is buffered, at once for those who wait and now and then for the others.
func (s *Store) flushLoop() {
	defer close(s.flusherDone)
	tick := time.NewTicker(s.opt.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case _, open := <-s.wake:
			if !open {
				return
			}
		case <-tick.C:
		}
		if s.flush() == nil {
			s.maintain()
		}
	}
}

// flush writes what is buffered and waits for the disk. Its error is the store's from then on.
func (s *Store) flush() error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.flushLocked()
}

func (s *Store) flushLocked() error {
	s.mu.Lock()
	if s.writeErr != nil || len(s.pending) == 0 {
		defer s.mu.Unlock()
		return s.writeErr
	}
	pending, waiting, at, seq, mine := s.pending, s.pendingEntries, s.pendingOffset, s.lastSeq, s.group
	s.group = newCommitGroup()
	last := s.manifest.segments[len(s.manifest.segments)-1].number
	file := s.segmentFiles[last]
	s.pending, s.pendingEntries, s.pendingOffset, s.flushingSeq = nil, nil, at+int64(len(pending)), seq
	s.segmentSizes[last] = s.pendingOffset
	s.mu.Unlock()
	_, err := file.WriteAt(pending, at)
	if err == nil {
		err = file.Sync()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil { // what of it is on the disk nobody knows, nor whether a later fsync would tell
		err = s.fail(err)
		mine.finish(err)
		return err
	}
	s.markDurable(int64(len(pending)), seq, waiting)
	mine.finish(nil)
	return nil
}

// flushed notes that all up to a number is on disk. The mutex is held.
func (s *Store) markDurable(bytes int64, seq uint64, waiting []*indexEntry) {
	s.counters.Syncs++
	s.counters.BytesWritten += uint64(bytes)
	s.durableSeq = seq
	s.bytesSinceCheckpoint += bytes
	for _, e := range waiting {
		if e.prev = nil; len(e.value) > maxInlineValue {
			e.value = nil
		}
	}
	s.flushDone.Broadcast()
}

// fail ends all writing. The mutex is held.
func (s *Store) fail(err error) error {
	if s.writeErr == nil {
		s.writeErr = fmt.Errorf("store: the disk failed, nothing more is acknowledged: %w", err)
		s.flushDone.Broadcast()
		s.group.finish(s.writeErr) // what is pending is never written
		s.group = newCommitGroup()
	}
	return s.writeErr
}

// Err is why nothing more is acknowledged; nil: the store works.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.writeErr
}

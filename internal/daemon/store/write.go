package store

// This file has the write path: batches are appended to a buffer, and flushed to the active segment by group commit.

import (
	"fmt"
	"time"
)

// maxPendingBytes is the number of pending bytes above which Write blocks.
const maxPendingBytes = 4 << 20

// Write applies a batch and returns once it is as durable as asked. It blocks while more than maxPendingBytes are
// pending. It returns ErrClosed, ErrLimitExceeded, or the disk error after which the store accepts no more writes (see
// Err); after a disk error it is unknown whether the batch is on disk.
func (s *Store) Write(b *Batch, d Durability) error {
	if len(b.records) == 0 {
		return nil
	}
	size := 0
	for _, r := range b.records {
		if len(r.key) == 0 || len(r.key) > MaxKeySize || len(r.value) > MaxValueSize {
			return fmt.Errorf("store: a key must have 1 to %d bytes, a value at most %d", MaxKeySize, MaxValueSize)
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
	segment := s.manifest.active()
	for i, r := range b.records {
		s.lastSeq++
		r.seq, r.durableSeq, r.batchEnd = s.lastSeq, s.durableSeq, i == len(b.records)-1
		offset := s.pendingOffset + int64(len(s.pending))
		s.pending = r.appendTo(s.pending)
		e := &indexEntry{seq: r.seq, value: r.value, location: location{segment, offset, uint32(r.size())},
			tombstone: r.kind == kindDelete}
		if e.value == nil {
			e.value = []byte{} // nil would mean that it has to be read from disk
		}
		s.indexPut(string(r.key), e)
		s.pendingEntries = append(s.pendingEntries, e)
		s.totalBytes += int64(r.size())
		s.counters.UserBytes += uint64(len(r.key) + len(r.value))
	}
	s.counters.Writes++
	group := s.group
	s.mu.Unlock()
	switch d {
	case Buffered:
		return nil
	case Immediate:
		return s.flush()
	}
	s.wakeFlusher()
	<-group.done
	return group.err
}

// commitGroup is the set of batches that one flush writes. Their writers wait for it.
type commitGroup struct {
	done chan struct{} // closed when the flush has ended
	err  error         // of the flush; written before done is closed
}

// newCommitGroup returns an empty group.
func newCommitGroup() *commitGroup { return &commitGroup{done: make(chan struct{})} }

// finish records the result of the flush and wakes the writers. It is called once.
func (g *commitGroup) finish(err error) {
	g.err = err
	close(g.done)
}

// recountBytes recomputes totalBytes. mu is held.
func (s *Store) recountBytes() {
	s.totalBytes = int64(len(s.pending))
	for _, size := range s.segmentSizes {
		s.totalBytes += size
	}
}

// wakeFlusher asks for a flush without waiting for it. After Close nothing receives from wake; Close
// does the last flush itself.
func (s *Store) wakeFlusher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flushLoop flushes when a writer waits for it, and every FlushInterval otherwise, and runs maintain after
// each flush that succeeds. It returns when the store is closed.
func (s *Store) flushLoop() {
	defer close(s.flusherDone)
	tick := time.NewTicker(s.opt.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.closing:
			return
		case <-s.wake:
		case <-tick.C:
		}
		if s.flush() == nil {
			s.maintain()
		}
	}
}

// flush writes the pending records to the active segment and syncs it.
func (s *Store) flush() error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.flushLocked()
}

// flushLocked is flush with ioMu held. An error is final: the store accepts no more writes.
func (s *Store) flushLocked() error {
	s.mu.Lock()
	if s.writeErr != nil || len(s.pending) == 0 {
		defer s.mu.Unlock()
		return s.writeErr
	}
	pending, entries, offset, seq, group := s.pending, s.pendingEntries, s.pendingOffset, s.lastSeq, s.group
	s.group = newCommitGroup()
	segment := s.manifest.active()
	file := s.segmentFiles[segment]
	s.pending, s.pendingEntries, s.pendingOffset, s.flushingSeq = nil, nil, offset+int64(len(pending)), seq
	s.segmentSizes[segment] = s.pendingOffset
	s.mu.Unlock()
	_, err := file.WriteAt(pending, offset)
	if err == nil {
		err = file.Sync()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil { // it is unknown how much of it is on disk, and a later fsync would not show it
		err = s.fail(err)
		group.finish(err)
		return err
	}
	s.markDurable(int64(len(pending)), seq, entries)
	group.finish(nil)
	return nil
}

// markDurable records that everything up to a sequence number is on disk. mu is held.
func (s *Store) markDurable(bytes int64, seq uint64, entries []*indexEntry) {
	s.counters.Syncs++
	s.counters.BytesWritten += uint64(bytes)
	s.durableSeq = seq
	s.bytesSinceCheckpoint += bytes
	for _, e := range entries {
		if e.prev = nil; len(e.value) > maxInlineValue {
			e.value = nil
		}
	}
	s.flushDone.Broadcast()
}

// fail makes the store reject all further writes, and fails the pending commit group. mu is held.
func (s *Store) fail(err error) error {
	if s.writeErr == nil {
		s.writeErr = fmt.Errorf("store: disk failure, no more writes are accepted: %w", err)
		s.flushDone.Broadcast()
		s.group.finish(s.writeErr) // the pending records are never written
		s.group = newCommitGroup()
	}
	return s.writeErr
}

// Err returns the disk error after which the store accepts no more writes; nil: there was none.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.writeErr
}

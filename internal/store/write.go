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
		if len(r.key) == 0 || len(r.key) > MostKey || len(r.value) > MostValue {
			return fmt.Errorf("store: a key has 1 to %d bytes, a value up to %d", MostKey, MostValue)
		}
		size += r.size()
	}
	s.mu.Lock()
	for len(s.pending) > mostPending && s.failed == nil && !s.closed {
		s.nudge()
		s.synced.Wait()
	}
	switch {
	case s.failed != nil:
		defer s.mu.Unlock()
		return s.failed
	case s.closed:
		defer s.mu.Unlock()
		return ErrClosed
	case s.total+int64(size) > s.opt.MostBytes || len(s.index)+len(b.records) > s.opt.MostEntries:
		defer s.mu.Unlock()
		return ErrTooMuch
	}
	last := s.man.segments[len(s.man.segments)-1].number
	for i, r := range b.records {
		s.seq++
		r.seq, r.durable, r.last = s.seq, s.durable, i == len(b.records)-1
		at := s.began + int64(len(s.pending))
		s.pending = r.append(s.pending)
		e := &entry{seq: r.seq, value: r.value, where: place{last, at, uint32(r.size())}, gone: r.kind == typeDelete}
		if e.value == nil {
			e.value = []byte{}
		}
		s.put(string(r.key), e)
		s.waiting = append(s.waiting, e)
		s.total += int64(r.size())
		s.counters.Asked += uint64(len(r.key) + len(r.value))
	}
	s.counters.Writes++
	mine := s.round
	s.mu.Unlock()
	switch d {
	case Buffered:
		return nil
	case Immediate:
		return s.flush()
	}
	s.nudge()
	<-mine.done
	return mine.err
}

// put makes an entry its key's newest. The mutex is held.
func (s *Store) put(key string, e *entry) {
	if old := s.index[key]; old != nil {
		if old.seq > e.seq {
			return
		}
		s.live[old.where.segment] -= int64(old.where.size)
		if e.prev = old; old.seq > max(s.durable, s.flushing) { // neither is on disk or on its way: the older one never matters
			e.prev = old.prev
		}
	}
	s.live[e.where.segment] += int64(e.where.size)
	s.index[key] = e
}

// count works out anew how many bytes all segments have. The mutex is held.
func (s *Store) count() {
	s.total = int64(len(s.pending))
	for _, size := range s.sizes {
		s.total += size
	}
}

// nudge has the flusher work now.
func (s *Store) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flusher writes what is buffered, at once for those who wait and now and then for the others.
func (s *Store) flusher() {
	defer close(s.done)
	tick := time.NewTicker(s.opt.FlushEvery)
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
			s.tidy()
		}
	}
}

// flush writes what is buffered and waits for the disk. Its error is the store's from then on.
func (s *Store) flush() error {
	s.io.Lock()
	defer s.io.Unlock()
	return s.flushLocked()
}

func (s *Store) flushLocked() error {
	s.mu.Lock()
	if s.failed != nil || len(s.pending) == 0 {
		defer s.mu.Unlock()
		return s.failed
	}
	pending, waiting, at, seq, mine := s.pending, s.waiting, s.began, s.seq, s.round
	s.round = newRound()
	last := s.man.segments[len(s.man.segments)-1].number
	file := s.files[last]
	s.pending, s.waiting, s.began, s.flushing = nil, nil, at+int64(len(pending)), seq
	s.sizes[last] = s.began
	s.mu.Unlock()
	_, err := file.WriteAt(pending, at)
	if err == nil {
		err = file.Sync()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil { // what of it is on the disk nobody knows, nor whether a later fsync would tell
		err = s.fail(err)
		mine.end(err)
		return err
	}
	s.flushed(int64(len(pending)), seq, waiting)
	mine.end(nil)
	return nil
}

// flushed notes that all up to a number is on disk. The mutex is held.
func (s *Store) flushed(bytes int64, seq uint64, waiting []*entry) {
	s.counters.Syncs++
	s.counters.Written += uint64(bytes)
	s.durable = seq
	s.since += bytes
	for _, e := range waiting {
		if e.prev = nil; len(e.value) > inline {
			e.value = nil
		}
	}
	s.synced.Broadcast()
}

// fail ends all writing. The mutex is held.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = fmt.Errorf("store: the disk failed, nothing more is acknowledged: %w", err)
		s.synced.Broadcast()
		s.round.end(s.failed) // what is pending is never written
		s.round = newRound()
	}
	return s.failed
}

// Err is why nothing more is acknowledged; nil: the store works.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failed
}

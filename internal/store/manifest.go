package store

import (
	"crypto/rand"
	"slices"
)

func newID() (id ID) {
	rand.Read(id[:])
	return id
}

// install puts a manifest in place. The io mutex is held.
func (s *Store) install(m manifest) error {
	name := manifestName + ".tmp"
	if err := s.whole(name, m.bytes()); err != nil {
		return err
	}
	if err := s.fs.Sync(); err != nil { // the files that it names are there before it names them
		return err
	}
	if err := s.fs.Rename(name, manifestName); err != nil {
		return err
	}
	return s.fs.Sync()
}

// whole makes a file with some bytes, and waits for the disk.
func (s *Store) whole(name string, b []byte) error {
	s.fs.Remove(name) // what a crash has left
	f, err := s.fs.Open(name, true)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(b, 0); err != nil {
		return err
	}
	return f.Sync()
}

// begin opens a further segment for writing and puts it in the manifest, with what else changes there. The io mutex is held, and
// nothing is pending.
func (s *Store) begin(m manifest) error {
	number := s.next
	s.next++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(segmentBytes(m.id, m.epoch, number), 0); err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return err
	}
	m.segments = append(slices.Clone(m.segments), segment{number: number, first: s.seq + 1})
	if err := s.install(m); err != nil {
		f.Close()
		return err
	}
	s.man, s.files[number], s.sizes[number], s.began = m, f, segmentHead, segmentHead
	s.count()
	return nil
}

// sealed gives the manifest with all segments closed. The mutex is held, and nothing is pending.
func (s *Store) sealed() manifest {
	m := s.man
	m.segments = slices.Clone(m.segments)
	for i, g := range m.segments {
		m.segments[i].length = s.sizes[g.number]
	}
	return m
}

// tidy closes a segment that is large enough, compacts and makes checkpoints, where it is time.
func (s *Store) tidy() {
	s.io.Lock()
	defer s.io.Unlock()
	s.mu.RLock()
	last := s.man.segments[len(s.man.segments)-1].number
	large, old, failed := s.sizes[last] >= s.opt.SegmentBytes, s.since >= s.opt.CheckpointBytes, s.failed
	s.mu.RUnlock()
	if failed != nil {
		return
	}
	var err error
	if large {
		err = s.rotate()
	}
	if worn := s.worn(); err == nil && large && len(worn) > 0 {
		err = s.compact(worn)
	} else if err == nil && old {
		err = s.checkpoint()
	}
	if err != nil {
		s.mu.Lock()
		s.fail(err)
		s.mu.Unlock()
	}
}

// rotate closes the segment that is written to and begins another. The io mutex is held.
func (s *Store) rotate() error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 { // written meanwhile: it belongs to the segment that its places name
		last := s.man.segments[len(s.man.segments)-1].number
		_, err := s.files[last].WriteAt(s.pending, s.began)
		if err == nil {
			err = s.files[last].Sync()
		}
		if err != nil {
			return s.fail(err)
		}
		s.flushed(int64(len(s.pending)), s.seq, s.waiting)
		s.round.end(nil)
		s.round = newRound()
		s.began += int64(len(s.pending))
		s.pending, s.waiting, s.sizes[last] = nil, nil, s.began
	}
	return s.begin(s.sealed())
}

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
func (s *Store) installManifest(m manifest) error {
	name := manifestName + ".tmp"
	if err := s.writeFile(name, m.encode()); err != nil {
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
func (s *Store) writeFile(name string, b []byte) error {
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
func (s *Store) startSegment(m manifest) error {
	number := s.nextFileNumber
	s.nextFileNumber++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(encodeSegmentHeader(m.id, m.epoch, number), 0); err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return err
	}
	m.segments = append(slices.Clone(m.segments), segmentInfo{number: number, firstSeq: s.lastSeq + 1})
	if err := s.installManifest(m); err != nil {
		f.Close()
		return err
	}
	s.manifest, s.segmentFiles[number], s.segmentSizes[number], s.pendingOffset = m, f, segmentHeaderSize, segmentHeaderSize
	s.recountBytes()
	return nil
}

// sealed gives the manifest with all segments closed. The mutex is held, and nothing is pending.
func (s *Store) sealedManifest() manifest {
	m := s.manifest
	m.segments = slices.Clone(m.segments)
	for i, g := range m.segments {
		m.segments[i].sealedSize = s.segmentSizes[g.number]
	}
	return m
}

// tidy closes a segment that is large enough, compacts and makes checkpoints, where it is time.
func (s *Store) maintain() {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	s.mu.RLock()
	last := s.manifest.segments[len(s.manifest.segments)-1].number
	large, old, failed := s.segmentSizes[last] >= s.opt.SegmentBytes, s.bytesSinceCheckpoint >= s.opt.CheckpointBytes, s.writeErr
	s.mu.RUnlock()
	if failed != nil {
		return
	}
	var err error
	if large {
		err = s.rotate()
	}
	if worn := s.compactionCandidates(); err == nil && large && len(worn) > 0 {
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
		last := s.manifest.segments[len(s.manifest.segments)-1].number
		_, err := s.segmentFiles[last].WriteAt(s.pending, s.pendingOffset)
		if err == nil {
			err = s.segmentFiles[last].Sync()
		}
		if err != nil {
			return s.fail(err)
		}
		s.markDurable(int64(len(s.pending)), s.lastSeq, s.pendingEntries)
		s.group.finish(nil)
		s.group = newCommitGroup()
		s.pendingOffset += int64(len(s.pending))
		s.pending, s.pendingEntries, s.segmentSizes[last] = nil, nil, s.pendingOffset
	}
	return s.startSegment(s.sealedManifest())
}

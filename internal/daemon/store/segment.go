package store

// This file has the life cycle of a segment: it starts as the active one, flushes append to it, and it is sealed.

import (
	"slices"
)

// startSegment creates the next active segment and installs a manifest that is m with this segment added. ioMu is held,
// mu too unless the store is being opened, and nothing is pending.
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
	s.manifest, s.segmentFiles[number] = m, f
	s.segmentSizes[number], s.pendingOffset = segmentHeaderSize, segmentHeaderSize
	s.recountBytes()
	return nil
}

// sealedManifest returns the manifest with all segments sealed. mu is held, and nothing is pending.
func (s *Store) sealedManifest() manifest {
	m := s.manifest
	m.segments = slices.Clone(m.segments)
	for i, g := range m.segments {
		m.segments[i].sealedSize = s.segmentSizes[g.number]
	}
	return m
}

// rotate seals the active segment and starts another. ioMu is held.
func (s *Store) rotate() error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 { // written since the flush, with locations in the segment that is being sealed
		last := s.manifest.active()
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

package store

// This file has the maintenance of segments: when they are sealed and compacted, and compaction itself.

import (
	"cmp"
	"errors"
	"io"
	"slices"
)

// maintain rotates the active segment, compacts and writes a checkpoint, each when it is due. After an error the
// store accepts no more writes.
func (s *Store) maintain() {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	s.mu.RLock()
	large := s.segmentSizes[s.manifest.active()] >= s.opt.SegmentBytes
	checkpointDue := s.bytesSinceCheckpoint >= s.opt.CheckpointBytes
	failed := s.writeErr != nil
	s.mu.RUnlock()
	if failed {
		return
	}
	var err error
	if large {
		err = s.rotate()
	}
	if candidates := s.compactionCandidates(); err == nil && large && len(candidates) > 0 {
		err = s.compact(candidates) // compact writes a checkpoint, too
	} else if err == nil && checkpointDue {
		err = s.checkpoint()
	}
	if err != nil {
		s.mu.Lock()
		s.fail(err)
		s.mu.Unlock()
	}
}

// compactionCandidates returns the numbers of the sealed segments of which less than half is live, in the order of
// replay. Compacting these alone bounds the space amplification at two, and rewrites at most one byte for each byte
// that it frees.
func (s *Store) compactionCandidates() (list []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.manifest.segments[:len(s.manifest.segments)-1] { // all but the active one
		if 2*s.liveBytes[g.number] < s.segmentSizes[g.number] {
			list = append(list, g.number)
		}
	}
	return list
}

// Compact seals the active segment, and compacts all sealed segments.
func (s *Store) Compact() error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	if err := s.rotate(); err != nil {
		return err
	}
	s.mu.RLock()
	var all []uint64
	for _, g := range s.manifest.segments[:len(s.manifest.segments)-1] {
		all = append(all, g.number)
	}
	s.mu.RUnlock()
	if len(all) == 0 {
		return nil
	}
	return s.compact(all)
}

// compactionWriteSize is how many bytes a compaction buffers before it writes them.
const compactionWriteSize = 1 << 20

// relocation is a live record that compaction moves.
type relocation struct {
	entry *indexEntry
	to    location
}

// compact copies the live records of some sealed segments into a new segment, which takes their place in the manifest
// together with a checkpoint that has the new locations. A crash before the manifest is installed leaves the old
// segments in use. ioMu is held.
func (s *Store) compact(from []uint64) error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.RLock()
	dropTombstones := !slices.ContainsFunc(s.manifest.segments, func(g segmentInfo) bool {
		return g.number < slices.Max(from) && !slices.Contains(from, g.number)
	})
	live := s.liveRecords(from, dropTombstones)
	firstSeq := s.lastSeq + 1
	s.mu.RUnlock()
	if len(live) > 0 {
		firstSeq = min(firstSeq, live[0].entry.seq)
	}
	number := s.nextFileNumber
	s.nextFileNumber++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	size, err := s.copyRecords(f, number, live)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return err
	}

	s.mu.Lock()
	for _, r := range live {
		r.entry.location = r.to
		s.liveBytes[number] += int64(r.to.size)
	}
	if dropTombstones {
		for k, e := range s.index {
			if e.tombstone && slices.Contains(from, e.location.segment) {
				delete(s.index, k)
			}
		}
	}
	s.segmentFiles[number], s.segmentSizes[number] = f, size
	m := s.manifest
	m.segments = slices.DeleteFunc(slices.Clone(m.segments), func(g segmentInfo) bool {
		return slices.Contains(from, g.number)
	})
	m.segments = slices.Insert(m.segments, 0, segmentInfo{number, size, firstSeq})
	s.counters.Compactions++
	s.counters.BytesWritten += uint64(size)
	s.mu.Unlock()
	if err := s.writeCheckpoint(m); err != nil {
		return err
	}
	s.removeSegments(from)
	return nil
}

// liveRecords returns the newest durable record of each key that is in one of the segments, by sequence number.
// dropTombstones leaves out tombstones, and is set if no older segment remains that may hold a value of their key. mu
// is held for reading.
func (s *Store) liveRecords(from []uint64, dropTombstones bool) []relocation {
	var list []relocation
	for _, e := range s.index {
		e = e.durableVersion(s.durableSeq)
		if e != nil && slices.Contains(from, e.location.segment) && !(e.tombstone && dropTombstones) {
			list = append(list, relocation{entry: e})
		}
	}
	slices.SortFunc(list, func(a, b relocation) int { return cmp.Compare(a.entry.seq, b.entry.seq) })
	return list
}

// copyRecords writes a segment with the records, sets their new locations and returns the size of the segment. ioMu is
// held.
func (s *Store) copyRecords(f File, number uint64, list []relocation) (size int64, err error) {
	buffer := encodeSegmentHeader(s.manifest.id, s.manifest.epoch, number)
	size = int64(len(buffer))
	written := int64(0)
	for i := range list {
		from := list[i].entry.location
		b := make([]byte, from.size)
		if _, err := s.segmentFiles[from.segment].ReadAt(b, from.offset); err != nil && !errors.Is(err, io.EOF) {
			return 0, err
		}
		r, _, ok := decodeRecord(b)
		if !ok {
			return 0, &CorruptionError{segmentName(from.segment), from.offset, "a record can't be read"}
		}
		r.batchEnd = true // the batch that it was part of is complete, else it would not be in the index
		list[i].to = location{number, size, uint32(r.size())}
		buffer, size = r.appendTo(buffer), size+int64(r.size())
		if len(buffer) >= compactionWriteSize {
			if _, err := f.WriteAt(buffer, written); err != nil {
				return 0, err
			}
			written, buffer = size, buffer[:0]
		}
	}
	if len(buffer) > 0 {
		_, err = f.WriteAt(buffer, written)
	}
	return size, err
}

// removeSegments closes and removes segments that the manifest no longer names. ioMu is held.
func (s *Store) removeSegments(numbers []uint64) {
	s.mu.Lock()
	var files []File
	for _, n := range numbers {
		files = append(files, s.segmentFiles[n])
		delete(s.segmentFiles, n)
		delete(s.segmentSizes, n)
		delete(s.liveBytes, n)
	}
	s.recountBytes()
	s.mu.Unlock()
	for i, n := range numbers {
		files[i].Close()
		s.fs.Remove(segmentName(n)) // if this fails, the next Open removes the file
	}
}

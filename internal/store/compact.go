package store

import (
	"encoding/binary"
	"errors"
	"io"
	"slices"
)

// worn gives the closed segments of which less than half counts still, the oldest first, and none unless they are worth it.
func (s *Store) compactionCandidates() (list []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.manifest.segments[:len(s.manifest.segments)-1] {
		if 2*s.liveBytes[g.number] < s.segmentSizes[g.number] {
			list = append(list, g.number)
		}
	}
	return list
}

// Compact copies what counts out of all closed segments and frees the rest.
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

// compact copies what counts of some closed segments into a new one, and makes it take their place in one step, with a
// checkpoint that knows the new places. The io mutex is held.
func (s *Store) compact(from []uint64) error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	type moved struct {
		e  *indexEntry
		to location
	}
	s.mu.RLock()
	var list []moved
	oldest := !slices.ContainsFunc(s.manifest.segments, func(g segmentInfo) bool { return g.number < slices.Max(from) && !slices.Contains(from, g.number) })
	for _, e := range s.index {
		if e = e.durableVersion(s.durableSeq); e != nil && slices.Contains(from, e.location.segment) && !(e.tombstone && oldest) { // a deletion is kept while an older put may be
			list = append(list, moved{e: e})
		}
	}
	first := s.lastSeq + 1
	s.mu.RUnlock()
	slices.SortFunc(list, func(a, b moved) int { return int(int64(a.e.seq) - int64(b.e.seq)) })
	number := s.nextFileNumber
	s.nextFileNumber++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	out, at, size := encodeSegmentHeader(s.manifest.id, s.manifest.epoch, number), int64(0), int64(segmentHeaderSize)
	for i := range list {
		m := &list[i]
		b := make([]byte, m.e.location.size)
		if _, err := s.segmentFiles[m.e.location.segment].ReadAt(b, m.e.location.offset); err != nil && !errors.Is(err, io.EOF) {
			f.Close()
			return err
		}
		r, _, ok := decodeRecord(b)
		if !ok {
			f.Close()
			return &CorruptionError{segmentName(m.e.location.segment), m.e.location.offset, "a record can't be read"}
		}
		r.batchEnd = true // its batch counted long ago
		first = min(first, r.seq)
		m.to = location{number, size, uint32(r.size())}
		out, size = r.appendTo(out), size+int64(r.size())
		if len(out) >= compactionWriteSize || i == len(list)-1 {
			if _, err := f.WriteAt(out, at); err != nil {
				f.Close()
				return err
			}
			at, out = size, out[:0]
		}
	}
	if len(list) == 0 {
		_, err = f.WriteAt(out, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return err
	}
	s.mu.Lock()
	for _, m := range list {
		m.e.location = m.to
		s.liveBytes[number] += int64(m.to.size)
	}
	if oldest {
		for k, e := range s.index {
			if e.tombstone && slices.Contains(from, e.location.segment) {
				delete(s.index, k)
			}
		}
	}
	s.segmentFiles[number], s.segmentSizes[number] = f, size
	m := s.manifest
	m.segments = slices.DeleteFunc(slices.Clone(m.segments), func(g segmentInfo) bool { return slices.Contains(from, g.number) })
	m.segments = append([]segmentInfo{{number, size, first}}, m.segments...)
	s.counters.Compactions++
	s.counters.BytesWritten += uint64(size)
	s.mu.Unlock()
	if err := s.writeCheckpoint(m); err != nil {
		return err
	}
	s.mu.Lock()
	var old []File
	for _, n := range from {
		old = append(old, s.segmentFiles[n])
		delete(s.segmentFiles, n)
		delete(s.segmentSizes, n)
		delete(s.liveBytes, n)
	}
	s.recountBytes()
	s.mu.Unlock()
	for i, n := range from {
		old[i].Close()
		s.fs.Remove(segmentName(n))
	}
	return nil
}

// checkpoint writes the index down. The io mutex is held.
func (s *Store) checkpoint() error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.RLock()
	m := s.manifest
	s.mu.RUnlock()
	return s.writeCheckpoint(m)
}

// checkpointOf writes the index down and puts a manifest in place that names it.
func (s *Store) writeCheckpoint(m manifest) error {
	s.mu.RLock()
	last := s.manifest.segments[len(s.manifest.segments)-1].number
	upTo, seq := s.pendingOffset, s.durableSeq
	body, n := []byte(nil), 0
	for k, e := range s.index {
		if e = e.durableVersion(seq); e == nil {
			continue // it is read again from the segment
		}
		kind := byte(kindPut)
		if e.tombstone {
			kind = kindDelete
		}
		body = binary.BigEndian.AppendUint16(append(body, kind), uint16(len(k)))
		body = append(body, k...)
		body = binary.BigEndian.AppendUint64(body, e.location.segment)
		body = binary.BigEndian.AppendUint64(body, uint64(e.location.offset))
		body = binary.BigEndian.AppendUint32(body, e.location.size)
		body = binary.BigEndian.AppendUint64(body, e.seq)
		n++
	}
	s.mu.RUnlock()
	number := s.nextFileNumber
	s.nextFileNumber++
	b := binary.BigEndian.AppendUint64(header("SPLC", m.id), last)
	b = binary.BigEndian.AppendUint64(b, uint64(upTo))
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, uint64(n))
	b = binary.BigEndian.AppendUint32(b, crc(b))
	b = append(b, body...)
	b = binary.BigEndian.AppendUint32(b, crc(body))
	if err := s.writeFile(checkpointName(number), b); err != nil {
		return err
	}
	old := m.checkpoint
	m.checkpoint = number
	if err := s.installManifest(m); err != nil {
		return err
	}
	s.mu.Lock()
	s.manifest, s.bytesSinceCheckpoint = m, 0
	s.counters.Checkpoints++
	s.counters.BytesWritten += uint64(len(b))
	s.mu.Unlock()
	if old != 0 {
		s.fs.Remove(checkpointName(old))
	}
	return nil
}

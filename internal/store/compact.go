package store

import (
	"encoding/binary"
	"errors"
	"io"
	"slices"
)

// worn gives the closed segments of which less than half counts still, the oldest first, and none unless they are worth it.
func (s *Store) worn() (list []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.man.segments[:len(s.man.segments)-1] {
		if 2*s.live[g.number] < s.sizes[g.number] {
			list = append(list, g.number)
		}
	}
	return list
}

// Compact copies what counts out of all closed segments and frees the rest.
func (s *Store) Compact() error {
	s.io.Lock()
	defer s.io.Unlock()
	if err := s.rotate(); err != nil {
		return err
	}
	s.mu.RLock()
	var all []uint64
	for _, g := range s.man.segments[:len(s.man.segments)-1] {
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
		e  *entry
		to place
	}
	s.mu.RLock()
	var list []moved
	oldest := !slices.ContainsFunc(s.man.segments, func(g segment) bool { return g.number < slices.Max(from) && !slices.Contains(from, g.number) })
	for _, e := range s.index {
		if e = e.on(s.durable); e != nil && slices.Contains(from, e.where.segment) && !(e.gone && oldest) { // a deletion is kept while an older put may be
			list = append(list, moved{e: e})
		}
	}
	first := s.seq + 1
	s.mu.RUnlock()
	slices.SortFunc(list, func(a, b moved) int { return int(int64(a.e.seq) - int64(b.e.seq)) })
	number := s.next
	s.next++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	out, at, size := segmentBytes(s.man.id, s.man.epoch, number), int64(0), int64(segmentHead)
	for i := range list {
		m := &list[i]
		b := make([]byte, m.e.where.size)
		if _, err := s.files[m.e.where.segment].ReadAt(b, m.e.where.at); err != nil && !errors.Is(err, io.EOF) {
			f.Close()
			return err
		}
		r, _, ok := readRecord(b)
		if !ok {
			f.Close()
			return &Damage{segmentName(m.e.where.segment), m.e.where.at, "a record can't be read"}
		}
		r.last = true // its batch counted long ago
		first = min(first, r.seq)
		m.to = place{number, size, uint32(r.size())}
		out, size = r.append(out), size+int64(r.size())
		if len(out) >= copyBytes || i == len(list)-1 {
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
		m.e.where = m.to
		s.live[number] += int64(m.to.size)
	}
	if oldest {
		for k, e := range s.index {
			if e.gone && slices.Contains(from, e.where.segment) {
				delete(s.index, k)
			}
		}
	}
	s.files[number], s.sizes[number] = f, size
	m := s.man
	m.segments = slices.DeleteFunc(slices.Clone(m.segments), func(g segment) bool { return slices.Contains(from, g.number) })
	m.segments = append([]segment{{number, size, first}}, m.segments...)
	s.counters.Compactions++
	s.counters.Written += uint64(size)
	s.mu.Unlock()
	if err := s.checkpointOf(m); err != nil {
		return err
	}
	s.mu.Lock()
	var old []File
	for _, n := range from {
		old = append(old, s.files[n])
		delete(s.files, n)
		delete(s.sizes, n)
		delete(s.live, n)
	}
	s.count()
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
	m := s.man
	s.mu.RUnlock()
	return s.checkpointOf(m)
}

// checkpointOf writes the index down and puts a manifest in place that names it.
func (s *Store) checkpointOf(m manifest) error {
	s.mu.RLock()
	last := s.man.segments[len(s.man.segments)-1].number
	upTo, seq := s.began, s.durable
	body, n := []byte(nil), 0
	for k, e := range s.index {
		if e = e.on(seq); e == nil {
			continue // it is read again from the segment
		}
		kind := byte(typePut)
		if e.gone {
			kind = typeDelete
		}
		body = binary.BigEndian.AppendUint16(append(body, kind), uint16(len(k)))
		body = append(body, k...)
		body = binary.BigEndian.AppendUint64(body, e.where.segment)
		body = binary.BigEndian.AppendUint64(body, uint64(e.where.at))
		body = binary.BigEndian.AppendUint32(body, e.where.size)
		body = binary.BigEndian.AppendUint64(body, e.seq)
		n++
	}
	s.mu.RUnlock()
	number := s.next
	s.next++
	b := binary.BigEndian.AppendUint64(head("SPLC", m.id), last)
	b = binary.BigEndian.AppendUint64(b, uint64(upTo))
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, uint64(n))
	b = binary.BigEndian.AppendUint32(b, crc(b))
	b = append(b, body...)
	b = binary.BigEndian.AppendUint32(b, crc(body))
	if err := s.whole(checkpointName(number), b); err != nil {
		return err
	}
	old := m.checkpoint
	m.checkpoint = number
	if err := s.install(m); err != nil {
		return err
	}
	s.mu.Lock()
	s.man, s.since = m, 0
	s.counters.Checkpoints++
	s.counters.Written += uint64(len(b))
	s.mu.Unlock()
	if old != 0 {
		s.fs.Remove(checkpointName(old))
	}
	return nil
}

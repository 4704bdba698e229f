package store

import (
	"bytes"
	"errors"
	"io"
	"slices"
)

// Get gives a key's value; ok is false where there is none.
func (s *Store) Get(key []byte) (value []byte, ok bool, err error) {
	for range 2 { // a compaction may take the segment away meanwhile, and has put the record elsewhere then
		s.mu.RLock()
		e := s.index[string(key)]
		if e == nil || e.tombstone {
			s.mu.RUnlock()
			return nil, false, nil
		}
		if e.value != nil {
			value = bytes.Clone(e.value)
			s.mu.RUnlock()
			return value, true, nil
		}
		where, file := e.location, s.segmentFiles[e.location.segment]
		s.mu.RUnlock()
		if value, err = readValue(file, where, key); err == nil {
			return value, true, nil
		}
	}
	return nil, false, err
}

func readValue(file File, where location, key []byte) ([]byte, error) {
	b := make([]byte, where.size)
	if _, err := file.ReadAt(b, where.offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	r, _, ok := decodeRecord(b)
	if !ok || !bytes.Equal(r.key, key) {
		return nil, &CorruptionError{segmentName(where.segment), where.offset, "a record can't be read"}
	}
	return r.value, nil
}

// Each shows all keys with their values, in the order of the keys, until show says no. What is written meanwhile may show or not.
func (s *Store) Each(prefix []byte, show func(key, value []byte) bool) error {
	s.mu.RLock()
	var keys []string
	for k, e := range s.index {
		if !e.tombstone && len(k) >= len(prefix) && k[:len(prefix)] == string(prefix) {
			keys = append(keys, k)
		}
	}
	s.mu.RUnlock()
	slices.Sort(keys)
	for _, k := range keys {
		value, ok, err := s.Get([]byte(k))
		if err != nil {
			return err
		}
		if ok && !show([]byte(k), value) {
			return nil
		}
	}
	return nil
}

package store

import (
	"bytes"
	"errors"
	"io"
	"slices"
)

// Get returns a key's value; ok is false if the key does not exist.
func (s *Store) Get(key []byte) (value []byte, ok bool, err error) {
	for range 2 { // if a compaction removes the segment meanwhile, it has moved the record
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

// readValue reads a value from disk, and checks that the record is intact and the key's.
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

// Each calls visit with each key that has the prefix and its value, in the order of the keys, until visit returns
// false. It is not a snapshot: concurrent writes may or may not be visible to it.
func (s *Store) Each(prefix []byte, visit func(key, value []byte) bool) error {
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
		if ok && !visit([]byte(k), value) {
			return nil
		}
	}
	return nil
}

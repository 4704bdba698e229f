package store

// This file has checkpoints: copies of the index on disk, so that replay starts there and not at the first record.

import (
	"encoding/binary"
)

// checkpoint flushes and writes a checkpoint. ioMu is held.
func (s *Store) checkpoint() error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.RLock()
	m := s.manifest
	s.mu.RUnlock()
	return s.writeCheckpoint(m)
}

// writeCheckpoint writes a checkpoint of the durable part of the index, and installs a manifest that is m with this
// checkpoint. ioMu is held.
func (s *Store) writeCheckpoint(m manifest) error {
	s.mu.RLock()
	b := encodeCheckpoint(m.id, checkpoint{segment: s.manifest.active(), offset: s.pendingOffset, lastSeq: s.durableSeq,
		index: s.index})
	s.mu.RUnlock()
	number := s.nextFileNumber
	s.nextFileNumber++
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
		s.fs.Remove(checkpointName(old)) // if this fails, the next Open removes the file
	}
	return nil
}

// checkpoint is the index at a position of the log.
type checkpoint struct {
	segment uint64 // with offset, the position where replay continues
	offset  int64
	lastSeq uint64 // highest sequence number before the position
	index   map[string]*indexEntry
}

// encodeCheckpoint encodes, for each key, its newest entry whose sequence number is at most c.lastSeq. Replay
// reads the later entries.
func encodeCheckpoint(id ID, c checkpoint) []byte {
	body, n := []byte(nil), 0
	for k, e := range c.index {
		if e = e.durableVersion(c.lastSeq); e == nil {
			continue
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
	b := binary.BigEndian.AppendUint64(header(checkpointMagic, id), c.segment)
	b = binary.BigEndian.AppendUint64(b, uint64(c.offset))
	b = binary.BigEndian.AppendUint64(b, c.lastSeq)
	b = binary.BigEndian.AppendUint64(b, uint64(n))
	b = binary.BigEndian.AppendUint32(b, crc(b))
	b = append(b, body...)
	return binary.BigEndian.AppendUint32(b, crc(body))
}

// decodeCheckpoint decodes a checkpoint; ok is false if it is damaged or names a segment that the manifest doesn't.
func decodeCheckpoint(b []byte, m manifest) (c checkpoint, ok bool) {
	if checkHeader(b, checkpointMagic, m.id) != nil || len(b) < checkpointHeaderSize+crcSize ||
		crc(b[:checkpointHeaderSize-crcSize]) != binary.BigEndian.Uint32(b[checkpointHeaderSize-crcSize:]) ||
		crc(b[checkpointHeaderSize:len(b)-crcSize]) != binary.BigEndian.Uint32(b[len(b)-crcSize:]) {
		return c, false
	}
	c.segment, c.offset = binary.BigEndian.Uint64(b[24:]), int64(binary.BigEndian.Uint64(b[32:]))
	c.lastSeq = binary.BigEndian.Uint64(b[40:])
	n := binary.BigEndian.Uint64(b[48:])
	if m.position(c.segment) < 0 || c.offset < segmentHeaderSize || n > uint64(len(b)) {
		return c, false
	}
	const (
		entryHeaderSize = 3  // kind, length of the key
		entrySize       = 31 // without the key
	)
	c.index = make(map[string]*indexEntry, n)
	entries := make([]indexEntry, n)
	b = b[checkpointHeaderSize : len(b)-crcSize]
	for i := range entries {
		if len(b) < entryHeaderSize {
			return c, false
		}
		keySize := int(binary.BigEndian.Uint16(b[1:]))
		if len(b) < entrySize+keySize {
			return c, false
		}
		rest := b[entryHeaderSize+keySize:]
		e := &entries[i]
		*e = indexEntry{tombstone: b[0] == kindDelete, seq: binary.BigEndian.Uint64(rest[20:]),
			location: location{segment: binary.BigEndian.Uint64(rest), offset: int64(binary.BigEndian.Uint64(rest[8:])),
				size: binary.BigEndian.Uint32(rest[16:])}}
		if m.position(e.location.segment) < 0 {
			return c, false
		}
		c.index[string(b[entryHeaderSize:entryHeaderSize+keySize])] = e
		b = b[entrySize+keySize:]
	}
	return c, true
}

// loadCheckpoint loads the index from the checkpoint that the manifest names, and returns the position at which replay
// continues. ok is false if there is no intact checkpoint; the whole log is replayed then.
func (s *Store) loadCheckpoint() (segment uint64, offset int64, ok bool) {
	if s.manifest.checkpoint == 0 {
		return 0, 0, false
	}
	b, err := readFile(s.fs, checkpointName(s.manifest.checkpoint))
	if err != nil {
		return 0, 0, false
	}
	c, ok := decodeCheckpoint(b, s.manifest)
	if !ok {
		return 0, 0, false
	}
	s.index, s.lastSeq, s.liveBytes = c.index, c.lastSeq, map[uint64]int64{}
	for _, e := range s.index {
		s.liveBytes[e.location.segment] += int64(e.location.size)
	}
	return c.segment, c.offset, true
}

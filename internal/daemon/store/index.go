package store

// This file has the index in memory, which maps each key to the location of its newest record.

// indexEntry is the newest record of a key.
type indexEntry struct {
	seq       uint64
	value     []byte // nil: only on disk; set while the record is pending, and afterwards if it is small
	location  location
	tombstone bool // the key is deleted; older segments may still hold a value

	// prev is the entry that this one has replaced, kept until this one is durable: a checkpoint and a compaction
	// write down the newest durable entry of each key.
	prev *indexEntry
}

// maxInlineValue is the size in bytes up to which values stay in the index after they have been written to disk.
const maxInlineValue = 64

// durableVersion returns the newest entry of the key whose sequence number is at most durable; nil: there is none.
func (e *indexEntry) durableVersion(durable uint64) *indexEntry {
	for e != nil && e.seq > durable {
		e = e.prev
	}
	return e
}

// location is where a record is on disk.
type location struct {
	segment uint64
	offset  int64
	size    uint32 // of the encoded record, in bytes
}

// indexPut makes an entry the newest of its key, unless the index has a newer one. mu is held.
func (s *Store) indexPut(key string, e *indexEntry) {
	if old := s.index[key]; old != nil {
		if old.seq > e.seq {
			return
		}
		s.liveBytes[old.location.segment] -= int64(old.location.size)
		// An entry that no flush has taken yet will not become durable before its successor does.
		if e.prev = old; old.seq > max(s.durableSeq, s.flushingSeq) {
			e.prev = old.prev
		}
	}
	s.liveBytes[e.location.segment] += int64(e.location.size)
	s.index[key] = e
}

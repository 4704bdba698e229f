package store

import (
	"bytes"
)

// Batch is changes that count whole or not at all.
type Batch struct{ records []record }

// Put sets a key's value. Both are copied.
func (b *Batch) Put(key, value []byte) { b.add(kindPut, key, value) }

// Delete removes a key.
func (b *Batch) Delete(key []byte) { b.add(kindDelete, key, nil) }

func (b *Batch) add(kind byte, key, value []byte) {
	b.records = append(b.records, record{kind: kind, key: bytes.Clone(key), value: bytes.Clone(value)})
}

// entry is where a key's newest record is.
type indexEntry struct {
	seq       uint64
	value     []byte // where it is small, or not yet on disk; nil: on disk
	location  location
	tombstone bool        // deleted, which older segments may not know
	prev      *indexEntry // that it took the place of, until it is on disk itself
}

// on gives the newest of an entry and those before it that is on disk; nil: none is.
func (e *indexEntry) durableVersion(durable uint64) *indexEntry {
	for e != nil && e.seq > durable {
		e = e.prev
	}
	return e
}

type location struct {
	segment uint64
	offset  int64
	size    uint32 // of the record
}

// round is one flush, which those wait for whose records it writes.
type commitGroup struct {
	done chan struct{} // closed when it is over
	err  error         // of it, from then on
}

func newCommitGroup() *commitGroup { return &commitGroup{done: make(chan struct{})} }

// end lets all go on who wait for it.
func (r *commitGroup) finish(err error) {
	r.err = err
	close(r.done)
}

package store

import (
	"bytes"
)

// Batch is a set of changes that is applied as a whole or not at all. The zero value is empty and ready for use.
type Batch struct{ records []record }

// Put sets a key's value. It copies both.
func (b *Batch) Put(key, value []byte) { b.add(kindPut, key, value) }

// Delete deletes a key. It copies the key.
func (b *Batch) Delete(key []byte) { b.add(kindDelete, key, nil) }

// add appends a record.
func (b *Batch) add(kind byte, key, value []byte) {
	b.records = append(b.records, record{kind: kind, key: bytes.Clone(key), value: bytes.Clone(value)})
}

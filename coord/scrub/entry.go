package scrub

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Entry is one key of a replica.
type Entry struct {
	Key string
	// Version orders the writes of a key.
	Version uint64
	// Deleted marks a deletion.
	Deleted bool
	Value   []byte
	// Checksum is that of Checksum at the time of the write, read from where it is kept.
	Checksum uint32
}

// Checksum returns the checksum (CRC-32C) of what an entry says.
func Checksum(key string, version uint64, deleted bool, value []byte) uint32 {
	var fixed [9]byte
	binary.BigEndian.PutUint64(fixed[:], version)
	if deleted {
		fixed[8] = 1
	}
	sum := crc32.Checksum(fixed[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, []byte(key))
	return crc32.Update(sum, castagnoli, value)
}

// Good tells whether an entry still says what was written.
func (e Entry) Valid() bool {
	return e.Checksum == Checksum(e.Key, e.Version, e.Deleted, e.Value)
}

// Summary is an entry without its value.
type Summary struct {
	Key      string
	Version  uint64
	Checksum uint32
	// Bad tells that the value doesn't match the checksum.
	Corrupt bool
}

// summarize returns the summary of an entry that was read.
func summarize(entry Entry) Summary {
	return Summary{Key: entry.Key, Version: entry.Version, Checksum: entry.Checksum, Corrupt: !entry.Valid()}
}

// digestOf returns the digest of the entries of a range.
func digestOf(entries []Summary) uint64 {
	digest := xxhash.New()
	var fixed [20]byte
	for _, entry := range entries {
		binary.BigEndian.PutUint64(fixed[:], uint64(len(entry.Key)))
		binary.BigEndian.PutUint64(fixed[8:], entry.Version)
		binary.BigEndian.PutUint32(fixed[16:], entry.Checksum)
		_, _ = digest.Write(fixed[:])
		_, _ = digest.WriteString(entry.Key)
	}
	return digest.Sum64()
}

// Store is a replica's own copy.
type Store interface {
	// Scan calls visit for the entries from a key on, in the order of the keys, until visit returns false. It reads
	// the values from where they are kept.
	Scan(from string, visit func(Entry) bool) error
	// Get returns the entry of a key.
	Get(key string) (Entry, bool, error)
	// Repair puts a good entry in place of a missing, bad or older one, durably.
	Repair(entry Entry) error
}

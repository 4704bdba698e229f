package scrub

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

// castagnoli is the table for CRC-32C checksums, which processors compute in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Entry is one key of a replica, with its value.
type Entry struct {
	Key string
	// Version orders the writes of a key. Two replicas with the same version of a key must have the same value;
	// different values are a Conflict.
	Version uint64
	// Deleted marks a tombstone: a deletion that isn't on all replicas yet.
	Deleted bool
	Value   []byte
	// Checksum is the stored checksum: the result of the function Checksum when the entry was written.
	Checksum uint32
}

// Checksum returns the checksum (CRC-32C) of the contents of an entry. The caller must store it with the entry.
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

// Valid reports whether the contents of the entry match its checksum.
func (e Entry) Valid() bool {
	return e.Checksum == Checksum(e.Key, e.Version, e.Deleted, e.Value)
}

// Summary describes an entry without its value.
type Summary struct {
	Key      string
	Version  uint64
	Checksum uint32
	// Corrupt is true if the contents don't match the checksum.
	Corrupt bool
}

// summarize returns the summary of an entry, and checks its checksum.
func summarize(entry Entry) Summary {
	return Summary{Key: entry.Key, Version: entry.Version, Checksum: entry.Checksum, Corrupt: !entry.Valid()}
}

// digestOf returns the digest (xxHash64) of the entries of a range: their keys, versions and checksums.
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

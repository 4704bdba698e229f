package store

// The form of a store's folder. All numbers are big endian; CRC is CRC-32C (Castagnoli).
//
//	LOCK         held (flock) by the one process that has the folder open
//	MANIFEST     which files make the store; put in place by a rename, so it is always whole
//	NNNNNNNN.seg segments: the log, by number; the last one is written to
//	NNNNNNNN.ckp a checkpoint: the index as of a moment, so that only what came later is read again
//	*.tmp        what a crash has left of a file that was being made; removed
//
// MANIFEST: 4 bytes "SPLM", version (2), 2 of 0, store id (16), epoch (8), the checkpoint's number (8; 0: none), segments (4), then
// for each its number (8), the bytes of it that count (8; 0: it is the one written to) and its first sequence number (8); CRC (4) of all before.
//
// A segment: 4 bytes "SPLS", version (2), 2 of 0, store id (16), epoch (8), number (8), CRC (4) of all before. Then records:
//
//	length (4) of all that follows but the CRC, CRC (4) over length and what follows,
//	type (1): 1 put, 2 delete; flags (1): 1 the last of its batch; sequence number (8); the newest number that was durable
//	when it was written (8); length of the key (2); key; value
//
// A batch is records in a row, the last of them flagged, and counts whole or not at all. Sequence numbers rise by one from
// record to record over all segments that were not compacted; a compaction keeps them.
//
// A checkpoint: 4 bytes "SPLC", version (2), 2 of 0, store id (16), the segment (8) and place in it (8) that it goes up to, the newest sequence
// number (8), entries (8), CRC (4) of all before; then for each entry type (1), length of the key (2), key, segment (8), place (8),
// length of the record (4), sequence number (8); then CRC (4) of all entries.
//
// A reader of another version refuses: it can't tell what it would lose. A record that can't be read at the end of the segment
// that was written to is what a crash left of records that nobody was told of, and is cut off; unless a whole record that
// comes later says that it was durable. Then, and anywhere else, something was lost that had been acknowledged: the store
// does not open, and says where.

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const (
	formatVersion = 1
	manifestName  = "MANIFEST"
	lockName      = "LOCK"

	segmentHeaderSize    = 44
	checkpointHeaderSize = 60
	recordPrefixSize     = 8  // length and CRC
	recordHeaderSize     = 20 // type, flags, sequence number, durable number, length of the key
	manifestHeaderSize   = 44 // and its CRC

	// MostKey bounds the key of a record, in bytes.
	MaxKeySize = 1 << 10
	// MostValue bounds the value of a record, in bytes.
	MaxValueSize = 1 << 20

	kindPut, kindDelete = 1, 2
	flagBatchEnd        = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func crc(parts ...[]byte) (sum uint32) {
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

// ID names a store: one folder and its copies.
type ID [16]byte

// record is one change.
type record struct {
	kind       byte
	batchEnd   bool // of its batch
	seq        uint64
	durableSeq uint64
	key        []byte
	value      []byte
}

func (r record) size() int { return recordPrefixSize + recordHeaderSize + len(r.key) + len(r.value) }

// append adds the record's bytes.
func (r record) appendTo(to []byte) []byte {
	at := len(to)
	to = binary.BigEndian.AppendUint32(to, uint32(r.size()-recordPrefixSize))
	to = append(to, 0, 0, 0, 0, r.kind, 0)
	if r.batchEnd {
		to[at+recordPrefixSize+1] = flagBatchEnd
	}
	to = binary.BigEndian.AppendUint64(to, r.seq)
	to = binary.BigEndian.AppendUint64(to, r.durableSeq)
	to = binary.BigEndian.AppendUint16(to, uint16(len(r.key)))
	to = append(append(to, r.key...), r.value...)
	binary.BigEndian.PutUint32(to[at+4:], crc(to[at:at+4], to[at+recordPrefixSize:]))
	return to
}

// readRecord reads the record at the beginning of some bytes. What it gives back shares their memory.
func decodeRecord(b []byte) (r record, size int, ok bool) {
	if len(b) < recordPrefixSize+recordHeaderSize {
		return r, 0, false
	}
	n := binary.BigEndian.Uint32(b)
	if n < recordHeaderSize || n > recordHeaderSize+MaxKeySize+MaxValueSize || uint64(len(b)) < uint64(n)+recordPrefixSize {
		return r, 0, false
	}
	size = recordPrefixSize + int(n)
	if crc(b[:4], b[recordPrefixSize:size]) != binary.BigEndian.Uint32(b[4:]) {
		return r, 0, false
	}
	r.kind, r.batchEnd = b[8], b[9] == flagBatchEnd
	r.seq, r.durableSeq = binary.BigEndian.Uint64(b[10:]), binary.BigEndian.Uint64(b[18:])
	key := int(binary.BigEndian.Uint16(b[26:]))
	if key > size-recordPrefixSize-recordHeaderSize || key > MaxKeySize || b[9] > flagBatchEnd || r.kind != kindPut && r.kind != kindDelete || r.durableSeq >= r.seq {
		return r, 0, false
	}
	r.key, r.value = b[28:28+key], b[28+key:size]
	return r, size, true
}

// head gives the beginning that segments and checkpoints have in common.
func header(magic string, id ID) []byte {
	b := append([]byte(magic), formatVersion>>8, formatVersion&255, 0, 0)
	return append(b, id[:]...)
}

// checkHead tells whether some bytes begin as a file of this store does.
func checkHeader(b []byte, magic string, id ID) error {
	switch {
	case len(b) < 24 || string(b[:4]) != magic:
		return fmt.Errorf("not a file of a store: no %q at its beginning", magic)
	case binary.BigEndian.Uint16(b[4:]) != formatVersion:
		return fmt.Errorf("form %d, of which this program knows only %d", binary.BigEndian.Uint16(b[4:]), formatVersion)
	case ID(b[8:24]) != id:
		return fmt.Errorf("of another store: %x, not %x", b[8:24], id[:])
	}
	return nil
}

func encodeSegmentHeader(id ID, epoch, number uint64) []byte {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(header("SPLS", id), epoch), number)
	return binary.BigEndian.AppendUint32(b, crc(b))
}

func checkSegmentHeader(b []byte, id ID, number uint64) error {
	if err := checkHeader(b, "SPLS", id); err != nil {
		return err
	}
	if len(b) < segmentHeaderSize || crc(b[:segmentHeaderSize-4]) != binary.BigEndian.Uint32(b[segmentHeaderSize-4:]) {
		return fmt.Errorf("its head is damaged")
	}
	if n := binary.BigEndian.Uint64(b[32:]); n != number {
		return fmt.Errorf("it is segment %d by its head", n)
	}
	return nil
}

// manifest says which files make the store.
type manifest struct {
	id         ID
	epoch      uint64
	checkpoint uint64 // 0: none
	segments   []segmentInfo
}

type segmentInfo struct {
	number     uint64
	sealedSize int64 // bytes that count; 0: it is written to
	firstSeq   uint64
}

func (m manifest) encode() []byte {
	b := header("SPLM", m.id)
	b = binary.BigEndian.AppendUint64(b, m.epoch)
	b = binary.BigEndian.AppendUint64(b, m.checkpoint)
	b = binary.BigEndian.AppendUint32(b, uint32(len(m.segments)))
	for _, s := range m.segments {
		b = binary.BigEndian.AppendUint64(b, s.number)
		b = binary.BigEndian.AppendUint64(b, uint64(s.sealedSize))
		b = binary.BigEndian.AppendUint64(b, s.firstSeq)
	}
	return binary.BigEndian.AppendUint32(b, crc(b))
}

func decodeManifest(b []byte) (m manifest, err error) {
	if len(b) < manifestHeaderSize+4 || string(b[:4]) != "SPLM" {
		return m, fmt.Errorf("not the list of a store's files")
	}
	if v := binary.BigEndian.Uint16(b[4:]); v != formatVersion {
		return m, fmt.Errorf("form %d, of which this program knows only %d", v, formatVersion)
	}
	if crc(b[:len(b)-4]) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return m, fmt.Errorf("damaged: its checksum doesn't fit")
	}
	m.id, m.epoch, m.checkpoint = ID(b[8:24]), binary.BigEndian.Uint64(b[24:]), binary.BigEndian.Uint64(b[32:])
	n := binary.BigEndian.Uint32(b[40:])
	if uint64(len(b)) != manifestHeaderSize+4+24*uint64(n) {
		return m, fmt.Errorf("damaged: %d bytes for %d segments", len(b), n)
	}
	for i := range int(n) {
		at := b[manifestHeaderSize+24*i:]
		m.segments = append(m.segments, segmentInfo{binary.BigEndian.Uint64(at), int64(binary.BigEndian.Uint64(at[8:])), binary.BigEndian.Uint64(at[16:])})
	}
	return m, nil
}

func segmentName(number uint64) string    { return fmt.Sprintf("%08d.seg", number) }
func checkpointName(number uint64) string { return fmt.Sprintf("%08d.ckp", number) }

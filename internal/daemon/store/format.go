package store

// This file has the format of a store's files, and its encoding and decoding. All numbers are big endian; CRC is
// CRC-32C (Castagnoli).
//
//	LOCK         locked (flock) by the one process that has the directory open
//	MANIFEST     names the files of the store; replaced by rename, hence atomically
//	NNNNNNNN.seg segments of the log, by number; the last one in the manifest is the active one
//	NNNNNNNN.ckp checkpoint: the index at a position of the log, where replay starts
//	*.tmp        incomplete files that a crash has left; removed by Open
//
// MANIFEST: 4 bytes "SPLM", version (2), 2 bytes 0, store ID (16), epoch (8), number of the checkpoint (8; 0: none),
// number of segments (4), then for each segment: number (8), size in bytes (8; 0: it is the active one), first sequence
// number (8); CRC (4) of all that precedes it.
//
// Segment: 4 bytes "SPLS", version (2), 2 bytes 0, store ID (16), epoch (8), number (8), CRC (4) of all that precedes
// it. Then records:
//
//	length (4) of all that follows the CRC, CRC (4) of the length and of all that follows the CRC,
//	kind (1): 1 put, 2 delete; flags (1): 1 the last record of its batch; sequence number (8);
//	highest sequence number that was durable when the record was written (8); length of the key (2); key; value
//
// A batch is a run of records, the last of which has the flag. It is applied as a whole or not at all. Sequence numbers
// rise by one from record to record, over all segments that compaction has not written; compaction keeps them.
//
// Checkpoint: 4 bytes "SPLC", version (2), 2 bytes 0, store ID (16), segment (8) and offset in it (8) at which replay
// continues, highest sequence number (8), number of entries (8), CRC (4) of all that precedes it; then for each
// entry: kind (1), length of the key (2), key, segment (8), offset (8), length of the record (4), sequence number (8);
// then CRC (4) of all entries.
//
// A reader rejects every version but its own, because it cannot know which data it would lose. See the package
// documentation for how torn writes are distinguished from corruption.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

const (
	formatVersion = 1

	manifestName     = "MANIFEST"
	lockName         = "LOCK"
	segmentSuffix    = ".seg"
	checkpointSuffix = ".ckp"
	tempSuffix       = ".tmp"

	manifestMagic   = "SPLM"
	segmentMagic    = "SPLS"
	checkpointMagic = "SPLC"

	// Sizes in bytes of the fixed part that each structure starts with.
	commonHeaderSize     = 24 // magic, version, store ID: of segments and checkpoints
	segmentHeaderSize    = 44
	checkpointHeaderSize = 60
	recordPrefixSize     = 8  // length and CRC
	recordHeaderSize     = 20 // kind, flags, sequence number, durable sequence number, length of the key
	manifestHeaderSize   = 44 // without the CRC at the end
	manifestEntrySize    = 24 // of one segment
	crcSize              = 4

	// MaxKeySize bounds the key of a record, in bytes.
	MaxKeySize = 1 << 10
	// MaxValueSize bounds the value of a record, in bytes.
	MaxValueSize = 1 << 20

	kindPut, kindDelete = 1, 2
	flagBatchEnd        = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// crc returns the CRC-32C of the concatenated parts.
func crc(parts ...[]byte) (sum uint32) {
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

// ID identifies a store: a directory and its copies.
type ID [16]byte

// record is one change of a key.
type record struct {
	kind       byte   // kindPut or kindDelete
	batchEnd   bool   // the last record of its batch
	seq        uint64 // sequence number
	durableSeq uint64 // highest sequence number that was durable when the record was written
	key        []byte
	value      []byte
}

// size returns the size of the encoded record, in bytes.
func (r record) size() int { return recordPrefixSize + recordHeaderSize + len(r.key) + len(r.value) }

// appendTo appends the encoded record.
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

// decodeRecord decodes the record that b starts with and returns its encoded size; ok is false if it is incomplete or
// invalid. Key and value share the memory of b.
func decodeRecord(b []byte) (r record, size int, ok bool) {
	if len(b) < recordPrefixSize+recordHeaderSize {
		return r, 0, false
	}
	n := binary.BigEndian.Uint32(b)
	if n < recordHeaderSize || n > recordHeaderSize+MaxKeySize+MaxValueSize ||
		uint64(len(b)) < uint64(n)+recordPrefixSize {
		return r, 0, false
	}
	size = recordPrefixSize + int(n)
	if crc(b[:4], b[recordPrefixSize:size]) != binary.BigEndian.Uint32(b[4:]) {
		return r, 0, false
	}
	r.kind, r.batchEnd = b[8], b[9] == flagBatchEnd
	r.seq, r.durableSeq = binary.BigEndian.Uint64(b[10:]), binary.BigEndian.Uint64(b[18:])
	keySize := int(binary.BigEndian.Uint16(b[26:]))
	if keySize > size-recordPrefixSize-recordHeaderSize || keySize > MaxKeySize || b[9] > flagBatchEnd ||
		r.kind != kindPut && r.kind != kindDelete || r.durableSeq >= r.seq {
		return r, 0, false
	}
	r.key, r.value = b[28:28+keySize], b[28+keySize:size]
	return r, size, true
}

// header returns the start that manifests, segments and checkpoints have in common.
func header(magic string, id ID) []byte {
	b := append([]byte(magic), formatVersion>>8, formatVersion&255, 0, 0)
	return append(b, id[:]...)
}

// checkHeader checks that b starts with the header of a file of this store.
func checkHeader(b []byte, magic string, id ID) error {
	switch {
	case len(b) < commonHeaderSize || string(b[:4]) != magic:
		return fmt.Errorf("not a file of a store: it does not start with %q", magic)
	case binary.BigEndian.Uint16(b[4:]) != formatVersion:
		return fmt.Errorf("form %d, of which this program knows only %d", binary.BigEndian.Uint16(b[4:]), formatVersion)
	case ID(b[8:24]) != id:
		return fmt.Errorf("file of another store: its ID is %x, want %x", b[8:24], id[:])
	}
	return nil
}

// encodeSegmentHeader encodes the header of a segment.
func encodeSegmentHeader(id ID, epoch, number uint64) []byte {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(header(segmentMagic, id), epoch), number)
	return binary.BigEndian.AppendUint32(b, crc(b))
}

// checkSegmentHeader checks that b starts with the header of this segment of this store.
func checkSegmentHeader(b []byte, id ID, number uint64) error {
	if err := checkHeader(b, segmentMagic, id); err != nil {
		return err
	}
	if len(b) < segmentHeaderSize ||
		crc(b[:segmentHeaderSize-crcSize]) != binary.BigEndian.Uint32(b[segmentHeaderSize-crcSize:]) {
		return errors.New("segment header is truncated or its checksum doesn't match")
	}
	if n := binary.BigEndian.Uint64(b[32:]); n != number {
		return fmt.Errorf("segment header has the number of another segment: %d", n)
	}
	return nil
}

// segmentName returns the file name of a segment.
func segmentName(number uint64) string { return fmt.Sprintf("%08d%s", number, segmentSuffix) }

// checkpointName returns the file name of a checkpoint.
func checkpointName(number uint64) string { return fmt.Sprintf("%08d%s", number, checkpointSuffix) }

// isSegment reports whether a file name is that of a segment.
func isSegment(name string) bool { return strings.HasSuffix(name, segmentSuffix) }

// isCheckpoint reports whether a file name is that of a checkpoint.
func isCheckpoint(name string) bool { return strings.HasSuffix(name, checkpointSuffix) }

// fileNumber returns the number that the name of a segment or checkpoint starts with.
func fileNumber(name string) (number uint64, ok bool) {
	_, err := fmt.Sscanf(name, "%d.", &number)
	return number, err == nil
}

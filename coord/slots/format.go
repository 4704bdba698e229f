package slots

// # Files
//
// A store has four files, whose names never change: slot-0, slot-1, log-0 and log-1, each prefixed with
// Options.Prefix. The slot and the log with the same number belong together. Integers are big endian, checksums
// are CRC-32C (Castagnoli).
//
//	slot:  magic "SPLSLOT" (7 bytes), version (1), sequence (8), snapshot length (8), checksum (4), snapshot
//	log:   magic "SPLSLOG" (7 bytes), version (1), sequence (8), checksum (4), batches
//	batch: payload length (4), number (4), checksum (4), payload: for each record its length (uvarint) and bytes
//
// The state consists of the valid slot with the highest sequence n and the log with the same number, which also
// has the sequence n. A Compact gives the other pair the sequence n+1.
//
// The checksum of a slot covers sequence, length and snapshot. The checksum of a log's header covers the
// sequence. The checksum of a batch covers the sequence of its log, its own length and number, and the payload.
// Bytes left over from an earlier use of the same file have another sequence, and are never taken for a batch.
//
// One Append writes one batch, so that it is stored as a whole or not at all. The batches of a log are numbered
// from 0. The numbers distinguish a torn write from corruption: a valid batch with a higher number than an
// invalid batch was written after the invalid one had been synced.

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

const (
	// slotMagic and logMagic are the start of the files. Their last byte is the version of the format.
	slotMagic = "SPLSLOT\x01"
	logMagic  = "SPLSLOG\x01"

	// slotHeaderSize is the size in bytes of magic, sequence, length and checksum.
	slotHeaderSize = 8 + 8 + 8 + 4
	// logHeaderSize is the size in bytes of magic, sequence and checksum.
	logHeaderSize = 8 + 8 + 4
	// batchHeaderSize is the size in bytes of length, number and checksum.
	batchHeaderSize = 4 + 4 + 4

	// maxBatchPayload bounds the payload of one Append in bytes, so that its length fits into four bytes and
	// into an int.
	maxBatchPayload = math.MaxInt32
)

// castagnoli is the table for all checksums. Processors compute this CRC in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// slotContents is the contents of a slot file. Only a valid slot has a sequence and a snapshot. A slot that is
// neither valid nor empty is torn or corrupt.
type slotContents struct {
	valid    bool
	empty    bool // the file has no bytes
	sequence uint64
	snapshot []byte
}

// encodeSlotHeader returns the header of a slot file. The snapshot follows it in the file.
func encodeSlotHeader(sequence uint64, snapshot []byte) []byte {
	header := make([]byte, 0, slotHeaderSize)
	header = append(header, slotMagic...)
	header = binary.BigEndian.AppendUint64(header, sequence)
	header = binary.BigEndian.AppendUint64(header, uint64(len(snapshot)))
	checksum := crc32.Checksum(header[len(slotMagic):], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, snapshot)
	return binary.BigEndian.AppendUint32(header, checksum)
}

// parseSlot parses a slot file. Bytes after the snapshot are ignored.
func parseSlot(data []byte) slotContents {
	if len(data) < slotHeaderSize || string(data[:len(slotMagic)]) != slotMagic {
		return slotContents{empty: len(data) == 0}
	}
	sequence := binary.BigEndian.Uint64(data[8:])
	length := binary.BigEndian.Uint64(data[16:])
	if length > uint64(len(data)-slotHeaderSize) {
		return slotContents{}
	}
	snapshot := data[slotHeaderSize : slotHeaderSize+int(length)]
	checksum := crc32.Checksum(data[len(slotMagic):24], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, snapshot)
	if checksum != binary.BigEndian.Uint32(data[24:]) {
		return slotContents{}
	}
	return slotContents{valid: true, sequence: sequence, snapshot: snapshot}
}

// logContents is the contents of a log file up to its first invalid batch.
type logContents struct {
	valid         bool // the header is valid
	sequence      uint64
	records       [][]byte
	batches       uint32
	validSize     int64 // size in bytes up to the end of the last valid batch
	fileSize      int64 // size of the file in bytes
	corruptOffset int64 // offset of an invalid batch that a valid one follows, or 0
}

// encodeLogHeader returns the header of a log file. An empty log consists of only the header.
func encodeLogHeader(sequence uint64) []byte {
	header := make([]byte, 0, logHeaderSize)
	header = append(header, logMagic...)
	header = binary.BigEndian.AppendUint64(header, sequence)
	return binary.BigEndian.AppendUint32(header, crc32.Checksum(header[len(logMagic):], castagnoli))
}

// parseLog parses a log file up to its first invalid batch.
func parseLog(data []byte) logContents {
	if len(data) < logHeaderSize || string(data[:len(logMagic)]) != logMagic {
		return logContents{}
	}
	if crc32.Checksum(data[8:16], castagnoli) != binary.BigEndian.Uint32(data[16:]) {
		return logContents{}
	}
	contents := logContents{valid: true, sequence: binary.BigEndian.Uint64(data[8:]), fileSize: int64(len(data))}
	offset := logHeaderSize
	for offset < len(data) {
		size, records := parseBatch(data[offset:], contents.sequence, contents.batches)
		if size == 0 {
			break
		}
		contents.records = append(contents.records, records...)
		contents.batches++
		offset += size
	}
	contents.validSize = int64(offset)
	if hasLaterValidBatch(data[offset:], contents.sequence, contents.batches) {
		contents.corruptOffset = int64(offset)
	}
	return contents
}

// appendBatch appends a batch with the records to a buffer. It returns errBatchTooLarge if the records don't fit
// into maxBatchPayload.
func appendBatch(buffer []byte, sequence uint64, number uint32, records [][]byte) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, batchHeaderSize)...)
	for _, record := range records {
		buffer = binary.AppendUvarint(buffer, uint64(len(record)))
		buffer = append(buffer, record...)
	}
	batch := buffer[start:]
	if len(batch)-batchHeaderSize > maxBatchPayload {
		return nil, errBatchTooLarge
	}
	binary.BigEndian.PutUint32(batch, uint32(len(batch)-batchHeaderSize))
	binary.BigEndian.PutUint32(batch[4:], number)
	binary.BigEndian.PutUint32(batch[8:], batchChecksum(batch, sequence))
	return buffer, nil
}

// batchChecksum returns the checksum of a batch, which covers the sequence of its log, its length, its number and
// its payload.
func batchChecksum(batch []byte, sequence uint64) uint32 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], sequence)
	checksum := crc32.Checksum(prefix[:], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, batch[:8])
	return crc32.Update(checksum, castagnoli, batch[batchHeaderSize:])
}

// parseBatch returns the size in bytes and the records of the batch at the start of data. It returns 0 if there
// is no valid batch with this number.
func parseBatch(data []byte, sequence uint64, number uint32) (int, [][]byte) {
	batch := validBatch(data, sequence)
	if batch == nil || binary.BigEndian.Uint32(batch[4:]) != number {
		return 0, nil
	}
	var records [][]byte
	payload := batch[batchHeaderSize:]
	for len(payload) > 0 {
		length, width := binary.Uvarint(payload)
		if width <= 0 || length > uint64(len(payload)-width) {
			return 0, nil
		}
		end := width + int(length)
		records = append(records, payload[width:end:end])
		payload = payload[end:]
	}
	return len(batch), records
}

// validBatch returns the batch at the start of data, or nil if there is none with a correct checksum.
func validBatch(data []byte, sequence uint64) []byte {
	if len(data) < batchHeaderSize {
		return nil
	}
	length := binary.BigEndian.Uint32(data)
	if length == 0 || uint64(length) > uint64(len(data)-batchHeaderSize) {
		return nil
	}
	batch := data[:batchHeaderSize+int(length)]
	if batchChecksum(batch, sequence) != binary.BigEndian.Uint32(batch[8:]) {
		return nil
	}
	return batch
}

// hasLaterValidBatch reports whether data holds, at any offset, a valid batch with a higher number than the
// batch that is expected at its start. It tries every offset, because the length of the invalid batch can't be
// trusted. Each batch has at least one byte, which bounds the possible numbers at an offset and avoids most
// checksums.
func hasLaterValidBatch(data []byte, sequence uint64, expected uint32) bool {
	for offset := 1; offset+batchHeaderSize < len(data); offset++ {
		number := binary.BigEndian.Uint32(data[offset+4:])
		if number <= expected || uint64(number-expected) > uint64(offset) {
			continue
		}
		if validBatch(data[offset:], sequence) != nil {
			return true
		}
	}
	return false
}

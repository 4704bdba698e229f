package slots

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
)

const (
	slotMagic = "SPLSLOT\x01" // the last byte is the version
	logMagic  = "SPLSLOG\x01"

	// slotHeader is the size in bytes of magic, sequence, length and checksum.
	slotHeaderSize = 8 + 8 + 8 + 4
	// logHeader is the size in bytes of magic, sequence and checksum.
	logHeaderSize = 8 + 8 + 4
	// batchHeader is the size in bytes of length, number and checksum.
	batchHeaderSize = 4 + 4 + 4

	// maxBatch bounds the payload of one Append in bytes.
	maxBatchPayload = math.MaxInt32
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// slotContents is what a slot file holds.
type slotContents struct {
	valid    bool
	empty    bool
	sequence uint64
	snapshot []byte
}

// encodeSlotHeader returns the start of a slot file.
func encodeSlotHeader(sequence uint64, snapshot []byte) []byte {
	header := make([]byte, 0, slotHeaderSize)
	header = append(header, slotMagic...)
	header = binary.BigEndian.AppendUint64(header, sequence)
	header = binary.BigEndian.AppendUint64(header, uint64(len(snapshot)))
	checksum := crc32.Checksum(header[len(slotMagic):], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, snapshot)
	return binary.BigEndian.AppendUint32(header, checksum)
}

// parseSlot reads a slot file. Bytes after the snapshot are ignored.
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

// logContents is what a log file holds.
type logContents struct {
	valid         bool // the header is good
	sequence      uint64
	records       [][]byte
	batches       uint32
	validSize     int64 // bytes up to the end of the last good batch
	fileSize      int64 // bytes of the file
	corruptOffset int64 // offset of a bad batch that is followed by a good one, or 0
}

// encodeLogHeader returns the start of a log file.
func encodeLogHeader(sequence uint64) []byte {
	header := make([]byte, 0, logHeaderSize)
	header = append(header, logMagic...)
	header = binary.BigEndian.AppendUint64(header, sequence)
	return binary.BigEndian.AppendUint32(header, crc32.Checksum(header[len(logMagic):], castagnoli))
}

// parseLog reads a log file up to its first bad batch.
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

// errTooLarge reports records that don't fit into one batch.
var errBatchTooLarge = errors.New("slots: records too large for one append")

// appendBatch appends the batch of some records to a buffer.
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

// batchChecksum returns the checksum of a whole batch in the log of a sequence.
func batchChecksum(batch []byte, sequence uint64) uint32 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], sequence)
	checksum := crc32.Checksum(prefix[:], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, batch[:8])
	return crc32.Update(checksum, castagnoli, batch[batchHeaderSize:])
}

// parseBatch returns the size in bytes and the records of the batch at the start of data, or 0 if there is no good
// one with this number.
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

// goodBatch returns the batch at the start of data if its checksum is right.
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

// hasLaterBatch tells whether data holds, at any offset, a good batch with a higher number than the one expected at
// its start.
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

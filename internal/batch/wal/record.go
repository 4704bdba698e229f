package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// This file owns how records stand in a segment: eight bytes of head, which are the payload's length and a checksum, then the
// payload.
//
// The first record of each group that was written at once carries a mark, the highest bit of its length. A group is written
// only once all before it is synced. So whatever stands before a sound mark was durable, and is damaged if it can't be read;
// what can't be read behind the last mark may be of a group that a loss of power tore, in any order. The checksum of a marked
// record covers its place, too: bytes of a payload never pass for a mark. Logs of earlier versions have no marks.

const (
	headerSize  = 8
	groupMarker = 1 << 31 // in a record's length
)

// Marks are searched for behind a record whose length can't be relied on, at every byte. Bytes that aren't a record may look
// like the head of a long one; so only marked records up to a size are found there, and the checksums taken are bounded.
const (
	maxSearchedRecord = 256 << 10 // bytes
	maxSearchedBytes  = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord gives a record without a mark.
func encodeRecord(payload []byte) []byte {
	encoded := make([]byte, headerSize+len(payload))
	binary.LittleEndian.PutUint32(encoded, uint32(len(payload)))
	binary.LittleEndian.PutUint32(encoded[4:], crc32.Checksum(payload, castagnoli))
	copy(encoded[headerSize:], payload)
	return encoded
}

// mark makes a record, which is to stand at an offset of a segment, the first of its group.
func setMarker(encoded []byte, segment uint32, offset int64) {
	length := binary.LittleEndian.Uint32(encoded)
	binary.LittleEndian.PutUint32(encoded, length|groupMarker)
	binary.LittleEndian.PutUint32(encoded[4:], markedChecksum(segment, offset, encoded[headerSize:]))
}

func markedChecksum(segment uint32, offset int64, payload []byte) uint32 {
	var position [12]byte
	binary.LittleEndian.PutUint32(position[:], segment)
	binary.LittleEndian.PutUint64(position[4:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// head is a record's head as it was read.
type recordHeader struct {
	length   uint32
	marked   bool
	checksum uint32
}

func decodeHeader(encoded []byte) recordHeader {
	length := binary.LittleEndian.Uint32(encoded)
	return recordHeader{
		length: length &^ groupMarker, marked: length&groupMarker != 0, checksum: binary.LittleEndian.Uint32(encoded[4:]),
	}
}

// plausible tells whether a record may have such a length.
func (h recordHeader) validLength() bool { return h.length > 0 && h.length <= MaxRecordSize }

// fits tells whether a payload is the one that was written with the head at an offset of a segment.
func (h recordHeader) matches(segment uint32, offset int64, payload []byte) bool {
	if h.marked {
		return markedChecksum(segment, offset, payload) == h.checksum
	}
	return crc32.Checksum(payload, castagnoli) == h.checksum
}

// readRecord reads the payload of the record at an offset of a segment; ErrCorrupt says that there is none that is whole.
func readRecord(in *bufio.Reader, segment uint32, offset int64) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, eofAsCorrupt(err)
	}
	h := decodeHeader(header[:])
	if !h.validLength() {
		return nil, ErrCorrupt
	}
	payload, err := io.ReadAll(io.LimitReader(in, int64(h.length)))
	if err != nil {
		return nil, err
	}
	if len(payload) != int(h.length) || !h.matches(segment, offset, payload) {
		return nil, ErrCorrupt
	}
	return payload, nil
}

func eofAsCorrupt(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrCorrupt
	}
	return err
}

// findMark gives the place of a mark behind the record that data, the rest of a segment from base on, begins with and that
// can't be read: the first one that the lengths of records lead to, or else the first one that is found at any byte.
func findMarker(data []byte, segment uint32, base int64) (offset int64, found bool) {
	if at, found := followLengthsToMarker(data, segment, base); found {
		return base + int64(at), true
	}
	budget := maxSearchedBytes
	for at := 1; at+headerSize < len(data) && budget > 0; at++ {
		h := decodeHeader(data[at:])
		if !h.marked || h.length > maxSearchedRecord || !h.validLength() {
			continue
		}
		budget -= int(h.length)
		if beginsWithRecord(data[at:], segment, base+int64(at)) {
			return base + int64(at), true
		}
	}
	return 0, false
}

// followToMark goes from record to record by their lengths, the first of which can't be read, up to a mark.
func followLengthsToMarker(data []byte, segment uint32, base int64) (at int, found bool) {
	for len(data)-at > headerSize {
		at += headerSize + int(decodeHeader(data[at:]).length)
		if at >= len(data) || !beginsWithRecord(data[at:], segment, base+int64(at)) {
			return 0, false
		}
		if decodeHeader(data[at:]).marked {
			return at, true
		}
	}
	return 0, false
}

// recordAt tells whether a whole record begins with the bytes at an offset of a segment.
func beginsWithRecord(data []byte, segment uint32, offset int64) bool {
	if len(data) <= headerSize {
		return false
	}
	h := decodeHeader(data)
	rest := data[headerSize:]
	return h.validLength() && int(h.length) <= len(rest) && h.matches(segment, offset, rest[:h.length])
}

package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// # Format
//
// A segment is a sequence of records. A record is a header of eight bytes and the payload; integers are
// little endian:
//
//	length (4), whose highest bit is the group-commit marker
//	CRC-32C (4)
//	payload (length bytes, at least 1)
//
// The records of a group are written together, and the first of them carries the marker. A group is written only
// once everything before it is synced. So everything before a valid marker was durable, and is corrupt if it
// can't be read. Unreadable bytes after the last marker may belong to a group that was torn by a loss of power,
// which can lose any of its parts, in any order.
//
// The checksum of a record without the marker covers the payload. With the marker it also covers the
// record's position (segment number and offset), so that bytes of a payload, which may be a copy of a
// segment, are never mistaken for a marker. Logs of earlier versions have no markers.

const (
	headerSize  = 8       // bytes
	groupMarker = 1 << 31 // bit of a record's length
)

// castagnoli is the polynomial of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord encodes a payload as a record without the marker.
func encodeRecord(payload []byte) []byte {
	encoded := make([]byte, headerSize+len(payload))
	binary.LittleEndian.PutUint32(encoded, uint32(len(payload)))
	binary.LittleEndian.PutUint32(encoded[4:], crc32.Checksum(payload, castagnoli))
	copy(encoded[headerSize:], payload)
	return encoded
}

// setMarker sets the marker of an encoded record, which is to be the first of its group and to be written at an
// offset of a segment.
func setMarker(encoded []byte, segment uint32, offset int64) {
	length := binary.LittleEndian.Uint32(encoded)
	binary.LittleEndian.PutUint32(encoded, length|groupMarker)
	binary.LittleEndian.PutUint32(encoded[4:], markedChecksum(segment, offset, encoded[headerSize:]))
}

// markedChecksum returns the checksum of a record with the marker at an offset of a segment.
func markedChecksum(segment uint32, offset int64, payload []byte) uint32 {
	var position [12]byte
	binary.LittleEndian.PutUint32(position[:], segment)
	binary.LittleEndian.PutUint64(position[4:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// recordHeader is a decoded header. None of its fields is verified until matches has been called with the payload.
type recordHeader struct {
	length   uint32 // of the payload, bytes
	marked   bool
	checksum uint32
}

// decodeHeader decodes the header in the first headerSize bytes.
func decodeHeader(encoded []byte) recordHeader {
	length := binary.LittleEndian.Uint32(encoded)
	return recordHeader{
		length:   length &^ groupMarker,
		marked:   length&groupMarker != 0,
		checksum: binary.LittleEndian.Uint32(encoded[4:]),
	}
}

// validLength reports whether the length is one that a record may have.
func (h recordHeader) validLength() bool { return h.length > 0 && h.length <= MaxRecordSize }

// matches reports whether the checksum matches a payload at an offset of a segment.
func (h recordHeader) matches(segment uint32, offset int64, payload []byte) bool {
	if h.marked {
		return markedChecksum(segment, offset, payload) == h.checksum
	}
	return crc32.Checksum(payload, castagnoli) == h.checksum
}

// readRecord reads the payload of the record at an offset of a segment. It returns ErrCorrupt if there is no
// complete, valid record.
func readRecord(in *bufio.Reader, segment uint32, offset int64) ([]byte, error) {
	var encoded [headerSize]byte
	if _, err := io.ReadFull(in, encoded[:]); err != nil {
		return nil, eofAsCorrupt(err)
	}
	header := decodeHeader(encoded[:])
	if !header.validLength() {
		return nil, ErrCorrupt
	}
	// Use ReadAll instead of a buffer of the header's length, because the length is not verified yet and may be
	// up to MaxRecordSize.
	payload, err := io.ReadAll(io.LimitReader(in, int64(header.length)))
	if err != nil {
		return nil, err
	}
	if len(payload) != int(header.length) || !header.matches(segment, offset, payload) {
		return nil, ErrCorrupt
	}
	return payload, nil
}

// eofAsCorrupt returns ErrCorrupt if err means that the segment ended within a header, and err otherwise.
func eofAsCorrupt(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrCorrupt
	}
	return err
}

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
// The first record of each group, which is written at once, carries the marker. A group is written only
// once all before it is synced. So everything before a valid marker was durable, and is corrupt if it can't
// be read; what can't be read after the last marker may belong to a group that a loss of power has torn, in
// any order.
//
// The checksum of a record without the marker covers the payload. With the marker it also covers the
// record's position (segment number and offset), so that bytes of a payload, which may be a copy of a
// segment, never pass for a marker. Logs of earlier versions have no markers.

const (
	headerSize  = 8       // bytes
	groupMarker = 1 << 31 // bit of a record's length
)

// castagnoli is the polynomial of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns a payload's record, without a marker.
func encodeRecord(payload []byte) []byte {
	encoded := make([]byte, headerSize+len(payload))
	binary.LittleEndian.PutUint32(encoded, uint32(len(payload)))
	binary.LittleEndian.PutUint32(encoded[4:], crc32.Checksum(payload, castagnoli))
	copy(encoded[headerSize:], payload)
	return encoded
}

// setMarker turns an encoded record, which is to be written at an offset of a segment, into the first of
// its group.
func setMarker(encoded []byte, segment uint32, offset int64) {
	length := binary.LittleEndian.Uint32(encoded)
	binary.LittleEndian.PutUint32(encoded, length|groupMarker)
	binary.LittleEndian.PutUint32(encoded[4:], markedChecksum(segment, offset, encoded[headerSize:]))
}

// markedChecksum is the checksum of a record with the marker.
func markedChecksum(segment uint32, offset int64, payload []byte) uint32 {
	var position [12]byte
	binary.LittleEndian.PutUint32(position[:], segment)
	binary.LittleEndian.PutUint64(position[4:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// recordHeader is a decoded header. Nothing of it is verified until matches has been called with the payload.
type recordHeader struct {
	length   uint32 // of the payload, bytes
	marked   bool
	checksum uint32
}

// decodeHeader decodes the first headerSize bytes.
func decodeHeader(encoded []byte) recordHeader {
	length := binary.LittleEndian.Uint32(encoded)
	return recordHeader{
		length:   length &^ groupMarker,
		marked:   length&groupMarker != 0,
		checksum: binary.LittleEndian.Uint32(encoded[4:]),
	}
}

// validLength reports whether a record may have this length.
func (h recordHeader) validLength() bool { return h.length > 0 && h.length <= MaxRecordSize }

// matches reports whether the payload is the one that was written with this header at an offset of a segment.
func (h recordHeader) matches(segment uint32, offset int64, payload []byte) bool {
	if h.marked {
		return markedChecksum(segment, offset, payload) == h.checksum
	}
	return crc32.Checksum(payload, castagnoli) == h.checksum
}

// readRecord reads the payload of the record at an offset of a segment. It returns ErrCorrupt if there is
// no complete, valid one.
func readRecord(in *bufio.Reader, segment uint32, offset int64) ([]byte, error) {
	var encoded [headerSize]byte
	if _, err := io.ReadFull(in, encoded[:]); err != nil {
		return nil, eofAsCorrupt(err)
	}
	header := decodeHeader(encoded[:])
	if !header.validLength() {
		return nil, ErrCorrupt
	}
	// ReadAll, and not a buffer of the header's length: that is not verified yet and may be up to
	// MaxRecordSize.
	payload, err := io.ReadAll(io.LimitReader(in, int64(header.length)))
	if err != nil {
		return nil, err
	}
	if len(payload) != int(header.length) || !header.matches(segment, offset, payload) {
		return nil, ErrCorrupt
	}
	return payload, nil
}

// eofAsCorrupt turns the end of a segment within a header into ErrCorrupt.
func eofAsCorrupt(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrCorrupt
	}
	return err
}

package wal

// Markers are searched for at every byte after a record whose length can't be relied on. Bytes there that
// aren't a record may look like the header of a long one, whose checksum would have to be computed. These
// bounds keep a start from taking quadratic time.
const (
	maxSearchedRecord = 256 << 10 // longest marked record that the search finds, bytes
	maxSearchedBytes  = 1 << 30   // of which checksums are computed in one search
)

// findMarker returns the offset in the segment of the first marker that is found after an unreadable
// record. data is the rest of the segment from offset base on, and begins with that record. Following the
// lengths of records is tried first, then every byte.
func findMarker(data []byte, segment uint32, base int64) (offset int64, found bool) {
	if at, found := followLengthsToMarker(data, segment, base); found {
		return base + int64(at), true
	}
	budget := maxSearchedBytes
	for at := 1; at+headerSize < len(data) && budget > 0; at++ {
		header := decodeHeader(data[at:])
		if !header.marked || header.length > maxSearchedRecord || !header.validLength() {
			continue
		}
		budget -= int(header.length)
		if beginsWithRecord(data[at:], segment, base+int64(at)) {
			return base + int64(at), true
		}
	}
	return 0, false
}

// followLengthsToMarker goes from record to record by their lengths, up to the first marker. The first
// record can't be read, but its length may be intact; each further one must be valid.
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

// beginsWithRecord reports whether data, the rest of a segment from an offset on, begins with a complete,
// valid record.
func beginsWithRecord(data []byte, segment uint32, offset int64) bool {
	if len(data) <= headerSize {
		return false
	}
	header := decodeHeader(data)
	rest := data[headerSize:]
	return header.validLength() && int(header.length) <= len(rest) &&
		header.matches(segment, offset, rest[:header.length])
}

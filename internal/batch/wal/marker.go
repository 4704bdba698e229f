package wal

// Bounds of the search for a marker. After a record whose length can't be relied on, the search looks for a marker
// at every byte. Bytes that aren't a record may look like the header of a long one, whose checksum the search has to
// compute. These bounds keep a start from taking quadratic time.
const (
	maxSearchedRecord = 256 << 10 // longest payload of a marked record that the search finds, bytes
	maxSearchedBytes  = 1 << 30   // bytes of which one search computes checksums
)

// findMarker returns the offset in the segment of the first marker that it finds after an unreadable record. data
// is the rest of the segment from offset base on, and begins with that record. It first follows the lengths of
// records, and if that finds no marker, tries every byte.
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

// followLengthsToMarker goes from record to record by their lengths, up to the first marker, and returns its index
// in data. The first record can't be read, but its length may be intact; each further record must be valid.
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

package serverload

import (
	"encoding/binary"
	"slices"
	"time"
)

// Layout of a datagram, with the sizes in bytes: a magic number (4), the kind (1), the number of entries (1), and
// entries of a fixed size. All numbers are big-endian. Datagrams are too small for gob, which describes its types in
// each stream. A datagram of another form is dropped as a whole. Earlier and later versions exchange these
// datagrams: the layout must not change.
//
// Layout of an entry of a datagram of reports: the hash of the server's id (8), running, waiting, slots (0: no load
// is reported) and the age of the load in milliseconds (2 each), and the numbers of requests that the server served
// and failed (1 each).
const (
	magic            = uint32(0x53504c31) // "SPL1"
	headerBytes      = 6
	reportEntryBytes = 18
	// maxReports bounds the reports of one datagram, so that it fits into an Ethernet frame.
	maxReports             = 72
	maxReportDatagramBytes = headerBytes + maxReports*reportEntryBytes
)

// kind identifies the contents of a datagram and between which processes it is sent.
type kind byte

// Kinds of datagrams of reports. The numbers are part of the layout. Kinds 4 to 7 are in prefill.go and backlog.go.
const (
	kindObserved kind = 1 // process to aggregators: loads reported to it, and results of its requests
	kindZone     kind = 2 // aggregator to the processes of its zone: all loads, and sums of results
	kindRemote   kind = 3 // aggregator to the aggregators of other zones: loads reported in its zone
)

// appendHeader writes the header of a datagram with count entries to the beginning of buffer.
func appendHeader(buffer []byte, k kind, count int) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer[:0], magic)
	return append(buffer, byte(k), byte(count))
}

// parseHeader returns the kind and the entries of a datagram. ok is false unless the kind is one of kinds, and the
// length is that of the number of entries in the header, at most maxEntries of entryBytes each.
func parseHeader(datagram []byte, entryBytes, maxEntries int, kinds ...kind) (k kind, entries []byte, ok bool) {
	if len(datagram) < headerBytes || binary.BigEndian.Uint32(datagram) != magic {
		return 0, nil, false
	}
	k = kind(datagram[4])
	count := int(datagram[5])
	if !slices.Contains(kinds, k) || count > maxEntries || len(datagram) != headerBytes+count*entryBytes {
		return 0, nil, false
	}
	return k, datagram[headerBytes:], true
}

// encode encodes a datagram with as many of the reports as fit. It reuses buffer.
func encode(buffer []byte, k kind, reports []Report) []byte {
	reports = reports[:min(len(reports), maxReports)]
	out := appendHeader(buffer, k, len(reports))
	for i := range reports {
		report := &reports[i]
		out = binary.BigEndian.AppendUint64(out, report.Server)
		for _, number := range [4]int{report.Load.Running, report.Load.Waiting, report.Load.Slots,
			int(report.Age.Milliseconds())} {
			out = binary.BigEndian.AppendUint16(out, uint16(min(max(number, 0), maxCount)))
		}
		out = append(out, byte(min(report.Results.Served+0.5, maxResults)),
			byte(min(report.Results.Failed+0.5, maxResults)))
	}
	return out
}

// decode decodes a datagram of reports. ok is false if the datagram isn't a valid one of this kind.
func decode(datagram []byte) (k kind, reports []Report, ok bool) {
	k, entries, ok := parseHeader(datagram, reportEntryBytes, maxReports, kindObserved, kindZone, kindRemote)
	if !ok {
		return 0, nil, false
	}
	reports = make([]Report, 0, len(entries)/reportEntryBytes)
	for entry := range slices.Chunk(entries, reportEntryBytes) {
		number := func(offset int) int { return int(binary.BigEndian.Uint16(entry[offset:])) }
		reports = append(reports, Report{
			Server:  binary.BigEndian.Uint64(entry),
			Load:    Load{Running: number(8), Waiting: number(10), Slots: number(12)},
			Age:     time.Duration(number(14)) * time.Millisecond,
			Results: Results{Served: float64(entry[16]), Failed: float64(entry[17])},
		})
	}
	return k, reports, true
}

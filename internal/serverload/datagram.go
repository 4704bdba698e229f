package serverload

import (
	"encoding/binary"
	"slices"
	"time"
)

// Layout of a datagram: a magic number (4 bytes), the kind (1), the count of entries (1), and entries of a
// fixed size; all numbers are big-endian. Datagrams are too small for gob, which describes its types in each
// stream. A datagram of another form is dropped as a whole. Earlier and later versions exchange these
// datagrams: the layout must not change.
//
// An entry of a report: the hash of the server's id (8), running, waiting, slots (0: no load is reported) and
// the age of the load in milliseconds (2 each), and the requests that the server served and failed (1 each).
const (
	magic       = uint32(0x53504c31) // "SPL1"
	headerBytes = 6
	reportBytes = 18
	// maxReports bounds the reports of one datagram: it fits into an Ethernet frame.
	maxReports    = 72
	datagramBytes = headerBytes + maxReports*reportBytes
)

// kind is what a datagram has, and between which processes it goes.
type kind byte

// Kinds. Their numbers are part of the layout; kinds 4 to 7 are those of prefill.go and backlog.go.
const (
	kindObserved kind = 1 // process to aggregators: loads reported to it, and results of its requests
	kindZone     kind = 2 // aggregator to the processes of its zone: all loads, and sums of results
	kindRemote   kind = 3 // aggregator to those of other zones: loads reported in its zone
)

// appendHeader starts a datagram in a buffer.
func appendHeader(buffer []byte, k kind, count int) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer[:0], magic)
	return append(buffer, byte(k), byte(count))
}

// parseHeader returns the kind and the entries of a datagram. It returns false unless the kind is one of the
// given ones and the length is that of its entries, at most maxEntries.
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

// encode writes as many reports as fit.
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

// decode reads a datagram of reports. It returns false if it is none.
func decode(datagram []byte) (k kind, reports []Report, ok bool) {
	k, entries, ok := parseHeader(datagram, reportBytes, maxReports, kindObserved, kindZone, kindRemote)
	if !ok {
		return 0, nil, false
	}
	reports = make([]Report, 0, len(entries)/reportBytes)
	for entry := range slices.Chunk(entries, reportBytes) {
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

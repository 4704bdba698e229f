package serverload

import (
	"encoding/binary"
	"time"
)

// Layout of a datagram, in fixed places as it would be too little to be worth a gob stream, which describes its types in each datagram:
// a tag (4 bytes), the kind (1), the count of reports (1), and for each report the hash of the server's id (8), running, waiting, slots
// (0: no load is told) and the age in milliseconds (2 each), and the requests that it served and failed (1 each). What doesn't have this
// form is dropped whole.
const (
	magic       = uint32(0x53504c31) // "SPL1"
	headerBytes = 6
	reportBytes = 18
	// mostReports bounds those of one datagram: it fits into a frame.
	maxReports    = 72
	datagramBytes = headerBytes + maxReports*reportBytes
)

// kind tells whose word a datagram is.
type kind byte

const (
	kindObserved kind = 1 // of a process, for its homes: what servers told it
	kindZone     kind = 2 // of a home, for the processes of its zone: all that it knows
	kindRemote   kind = 3 // of a home, for homes of other zones: what was told in its zone
)

// encode writes as many reports as fit.
func encode(out []byte, datagramKind kind, reports []Report) []byte {
	reports = reports[:min(len(reports), maxReports)]
	out = binary.BigEndian.AppendUint32(out[:0], magic)
	out = append(out, byte(datagramKind), byte(len(reports)))
	for _, one := range reports {
		out = binary.BigEndian.AppendUint64(out, one.Server)
		for _, number := range []int{one.Load.Running, one.Load.Waiting, one.Load.Slots, int(one.Age.Milliseconds())} {
			out = binary.BigEndian.AppendUint16(out, uint16(min(max(number, 0), maxCount)))
		}
		out = append(out, byte(min(one.Results.Served+0.5, maxResults)), byte(min(one.Results.Failed+0.5, maxResults)))
	}
	return out
}

// decode reads a datagram; false where it is none.
func decode(datagram []byte) (datagramKind kind, reports []Report, ok bool) {
	if len(datagram) < headerBytes || binary.BigEndian.Uint32(datagram) != magic {
		return 0, nil, false
	}
	datagramKind = kind(datagram[4])
	count := int(datagram[5])
	if datagramKind < kindObserved || datagramKind > kindRemote || count > maxReports || len(datagram) != headerBytes+count*reportBytes {
		return 0, nil, false
	}
	reports = make([]Report, 0, count)
	for at := headerBytes; at < len(datagram); at += reportBytes {
		one := datagram[at : at+reportBytes]
		number := func(place int) int { return int(binary.BigEndian.Uint16(one[place:])) }
		report := Report{Server: binary.BigEndian.Uint64(one), Load: Load{Running: number(8), Waiting: number(10), Slots: number(12)},
			Age: time.Duration(number(14)) * time.Millisecond, Results: Results{Served: float64(one[16]), Failed: float64(one[17])}}
		reports = append(reports, report)
	}
	return datagramKind, reports, true
}

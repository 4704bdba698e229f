package inflight

// This file has the reports and their encoding.
//
// A report is a datagram with these fields (sizes in bytes; integers are big endian):
//   - kind (1), format version (1), sequence number (2), which increases with each report, number of members with
//     failures (1)
//   - for each member with failures: its hash (2), the attempts that failed (1) and the attempts that were made (1),
//     both in eighths of an attempt
//   - for each request in flight: the hash (2) of its member

import (
	"encoding/binary"
)

// Encoding of a report, in bytes unless stated otherwise. Failed and made attempts are counted in steps of
// 1/stepsPerAttempt.
const (
	// Kind is the first byte of a report. No other message between gateways starts with this byte.
	Kind            = 0x74
	formatVersion   = 2
	headerSize      = 5
	hashSize        = 2
	failureSize     = hashSize + 2
	stepsPerAttempt = 8
	maxFailures     = 12
	maxDatagramSize = 256
)

// report has the requests in flight and the failures that a gateway reports to its neighbors.
type report struct {
	seq        uint16
	receivedAt Time
	inFlight   []uint16 // for each request in flight, the hash of its member
	failures   []failureCount
}

// failureCount has the numbers of recent attempts at a member that failed and that were made, in steps of
// 1/stepsPerAttempt.
type failureCount struct {
	hash             uint16
	failed, attempts uint8
}

// size returns the size of the encoded report, in bytes.
func (r *report) size() int {
	return headerSize + failureSize*len(r.failures) + hashSize*len(r.inFlight)
}

// encode returns the report as a datagram.
func (r *report) encode() []byte {
	m := append(binary.BigEndian.AppendUint16([]byte{Kind, formatVersion}, r.seq), byte(len(r.failures)))
	for _, f := range r.failures {
		m = append(binary.BigEndian.AppendUint16(m, f.hash), f.failed, f.attempts)
	}
	for _, hash := range r.inFlight {
		m = binary.BigEndian.AppendUint16(m, hash)
	}
	return m
}

// isReport reports whether a datagram is a well-formed report.
func isReport(m []byte) bool {
	return len(m) >= headerSize && len(m) <= maxDatagramSize && (len(m)-headerSize)%hashSize == 0 &&
		m[0] == Kind && m[1] == formatVersion && m[4] <= maxFailures && len(m) >= headerSize+failureSize*int(m[4])
}

// reportSeq returns the sequence number of a report.
func reportSeq(m []byte) uint16 { return binary.BigEndian.Uint16(m[2:]) }

// decodeReport decodes a datagram, for which isReport must have returned true.
func decodeReport(m []byte) *report {
	r := &report{seq: reportSeq(m)}
	n := int(m[4])
	for m = m[headerSize:]; n > 0; n, m = n-1, m[failureSize:] {
		r.failures = append(r.failures, failureCount{binary.BigEndian.Uint16(m), m[2], m[3]})
	}
	for ; len(m) > 0; m = m[hashSize:] {
		r.inFlight = append(r.inFlight, binary.BigEndian.Uint16(m))
	}
	return r
}

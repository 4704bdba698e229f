package inflight

// This file has the reports and their encoding.
//
// A report is a datagram: kind (1 byte), format version (1), sequence number (2, big endian), number of members with
// failures (1); for each of those its hash (2) and the attempts that failed and that were made, in eighths (1 each);
// then a hash (2) for each request in flight.

import (
	"encoding/binary"
)

// A datagram is its kind, form, a count that rises with each, how many failing members it names, each with the attempts
// that failed and were tried in steps, and a name of two bytes for each attempt out.
const (
	// Kind is the first byte of a report. No other message between gateways starts with it.
	Kind            = 0x74
	formatVersion   = 2
	headerSize      = 5
	hashSize        = 2
	failureSize     = hashSize + 2
	stepsPerAttempt = 8
	maxFailures     = 12
	maxDatagramSize = 256
)

// report is what a gateway reports to its neighbors.
type report struct {
	seq        uint16
	receivedAt Time
	inFlight   []uint16 // hash of the member, for each request
	failures   []failureCount
}

// failureCount is how many attempts at a member failed and were made lately, in steps of 1/stepsPerAttempt.
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

// decodeReport decodes a datagram that isReport accepts.
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

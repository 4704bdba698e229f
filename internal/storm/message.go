package storm

// This file has the messages between guards and their encoding.
//
// A message has 90 bytes: kind, format version, phase (2 bits) and confidence (6 bits, in 1/63), sequence number;
// then one byte on a logarithmic scale for each of first attempts, retries, attempts in time, failed attempts, limit
// and baseline, and for the returns scheduled for each second ahead; then the Bloom filter of failed work.

import (
	"math"
)

// Kind is the first byte of a message. No other message between gateways starts with it.
const Kind = 0x72

const (
	formatVersion   = 1
	scheduleSeconds = 16 // seconds ahead for which scheduled returns are reported
	bloomBytes      = 64
	messageSize     = 4 + 6 + scheduleSeconds + bloomBytes

	// The logarithmic scale of one byte: 0 is 0, 1 is minEncoded, and each stepsPerDoubling steps double the number.
	stepsPerDoubling = 8
	minEncoded       = 0.25

	minConfidence = 0.25 // below it no messages are sent, except in the first second of a phase
)

// Message is a guard's report to its peers outside of Calm. Counts are of the last second.
type Message struct {
	Phase                  Phase
	Confidence             float64                  // 0 to 1
	Seq                    uint8                    // rises by one from message to message
	FirstAttempts, Retries float64                  // arrivals
	InTime, Failed         float64                  // attempts; Failed includes late ones
	Limit, Baseline        float64                  // per second: the limit, and attempts usually served in time
	Scheduled              [scheduleSeconds]float64 // returns, by the second ahead
	FailedWork             BloomFilter              // keys of the work that failed
}

// encodeLog encodes a number on the logarithmic scale.
func encodeLog(x float64) byte {
	if !(x >= minEncoded) {
		return 0
	}
	return byte(math.Min(255, 1+math.Round(stepsPerDoubling*math.Log2(x/minEncoded))))
}

// decodeLog decodes a number that encodeLog has encoded.
func decodeLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return minEncoded * math.Exp2(float64(b-1)/stepsPerDoubling)
}

// Encode encodes the message.
func (m *Message) Encode() []byte {
	confidence := byte(math.Round(63 * math.Max(0, math.Min(1, m.Confidence))))
	b := append(make([]byte, 0, messageSize), Kind, formatVersion, byte(m.Phase)<<6|confidence, m.Seq)
	for _, x := range [...]float64{m.FirstAttempts, m.Retries, m.InTime, m.Failed, m.Limit, m.Baseline} {
		b = append(b, encodeLog(x))
	}
	for _, x := range m.Scheduled {
		b = append(b, encodeLog(x))
	}
	return append(b, m.FailedWork[:]...)
}

// Decode decodes a message; ok is false if it is invalid.
func Decode(b []byte) (m Message, ok bool) {
	if len(b) != messageSize || b[0] != Kind || b[1] != formatVersion || b[2]>>6 > byte(Recovery) {
		return m, false
	}
	m.Phase, m.Confidence, m.Seq = Phase(b[2]>>6), float64(b[2]&63)/63, b[3]
	for i, to := range [...]*float64{&m.FirstAttempts, &m.Retries, &m.InTime, &m.Failed, &m.Limit, &m.Baseline} {
		*to = decodeLog(b[4+i])
	}
	for i := range m.Scheduled {
		m.Scheduled[i] = decodeLog(b[10+i])
	}
	copy(m.FailedWork[:], b[10+scheduleSeconds:])
	return m, true
}

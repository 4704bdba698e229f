package datagram

// This file has the encoding of the datagrams.
//
// All start with kind and format version, one byte each. A request has nothing else. A snapshot continues with deaf
// and blind (knowledge.Fact) of the sender, one byte each, and a record of 9 bytes per member, the most unhealthy
// first: hash of its incarnation (4, big endian), stalled, lost, pace, room and time since the last answer (1 each).
// Numbers and durations are on a logarithmic scale.

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
)

// The kinds, the format version and the sizes in bytes. No message of package policy starts with one of the kinds.
const (
	kindRequest     = 0x70 // no other message between gateways starts with these kinds
	kindSnapshot    = 0x71
	formatVersion   = 1
	headerSize      = 4
	recordSize      = 9
	maxDatagramSize = 256
)

// The logarithmic scale of one byte: 0 is less than the smallest number, 1 is the smallest, and stepsPerDoubling steps
// double it.
const (
	stepsPerDoubling = 8
	minDuration      = 10 * time.Millisecond // the smallest duration
	minNumber        = 1.0 / 16              // the smallest other number
	never            = 255                   // the time since the last answer of a member that has never answered
)

// encodeLog encodes a multiple of the smallest number.
func encodeLog(x float64) byte {
	if !(x >= 1) {
		return 0
	}
	return byte(math.Min(never-1, 1+math.Round(stepsPerDoubling*math.Log2(x))))
}

// decodeLog decodes a number that encodeLog has encoded.
func decodeLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1) / stepsPerDoubling)
}

// encodeDuration encodes a duration on the logarithmic scale.
func encodeDuration(d time.Duration) byte { return encodeLog(float64(d) / float64(minDuration)) }

// decodeDuration decodes a duration that encodeDuration has encoded.
func decodeDuration(b byte) time.Duration { return time.Duration(decodeLog(b) * float64(minDuration)) }

// IsMessage reports whether a datagram is for this package, by its kind.
func IsMessage(m []byte) bool { return len(m) >= 2 && (m[0] == kindRequest || m[0] == kindSnapshot) }

// incarnationHash returns the four bytes that identify a member's incarnation in a snapshot. Records of members with
// the same hash are ignored.
func incarnationHash(l knowledge.Life) uint32 {
	h := fnv.New32a()
	h.Write([]byte(l.Instance))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(l.StartedMs)))
	return h.Sum32()
}

// Encode returns the snapshot of a gateway's observations, as far as it fits: members with the most overdue attempts
// first, and then those with the most answers.
func Encode(state pipe.State) []byte {
	m := append(make([]byte, 0, maxDatagramSize), kindSnapshot, formatVersion, encodeDuration(state.Deaf),
		encodeDuration(state.Blind))
	list := slices.DeleteFunc(slices.Clone(state.Own), func(o knowledge.Observation) bool {
		return o.Lost == 0 && o.Answered < 0
	})
	slices.SortStableFunc(list, func(x, y knowledge.Observation) int {
		return cmp.Or(cmp.Compare(y.Lost, x.Lost), cmp.Compare(y.Answers, x.Answers))
	})
	for _, o := range list[:min(len(list), (maxDatagramSize-headerSize)/recordSize)] {
		m = binary.BigEndian.AppendUint32(m, incarnationHash(o.Life))
		answered := byte(never)
		if o.Answered >= 0 {
			answered = encodeDuration(o.Answered)
		}
		m = append(m, encodeDuration(o.Stalled), byte(min(o.Lost, 255)), encodeLog(o.Pace/minNumber),
			encodeLog(o.Room/minNumber), answered)
	}
	return m
}

// assumedAnswers is the number of answers that a record of a snapshot is assumed to be based on.
const assumedAnswers = 8

// Decode returns the facts of a peer's snapshot on members that are listed here; ok is false if m is not
// a valid snapshot.
func Decode(m []byte, from knowledge.Observer, seq uint64, listed []knowledge.Observation) (facts []knowledge.Fact,
	ok bool) {
	if len(m) < headerSize || len(m) > maxDatagramSize || m[0] != kindSnapshot || m[1] != formatVersion ||
		(len(m)-headerSize)%recordSize != 0 {
		return nil, false
	}
	members := make(map[uint32]*knowledge.Life, len(listed)) // by hash; nil: ambiguous
	for i := range listed {
		hash := incarnationHash(listed[i].Life)
		if _, ambiguous := members[hash]; ambiguous {
			members[hash] = nil
		} else {
			members[hash] = &listed[i].Life
		}
	}
	deaf, blind := decodeDuration(m[2]), decodeDuration(m[3])
	for m = m[headerSize:]; len(m) > 0; m = m[recordSize:] {
		member := members[binary.BigEndian.Uint32(m)]
		if member == nil {
			continue
		}
		f := knowledge.Fact{Life: *member, Observer: from, Seq: seq, Stalled: decodeDuration(m[4]), Lost: int(m[5]),
			Pace: decodeLog(m[6]) * minNumber, Answers: assumedAnswers, Room: decodeLog(m[7]) * minNumber, Warmth: 1,
			Answered: -1, Deaf: deaf, Blind: blind}
		if m[8] != never {
			f.Answered = decodeDuration(m[8])
		}
		facts = append(facts, f)
	}
	return facts, true
}

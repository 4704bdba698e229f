package policy

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// The form of what gateways tell each other. Nothing here chooses.

// A peer message: version, the sender's age in ms, what its numbers of groups and of plans mean, then sections of
// entries, each with its count ahead. An entry is a name and some masses, each a byte on a logarithmic scale.
const (
	messageBytes  = 256
	headerBytes   = 7
	wireVersion   = 7
	olderPeerFlag = 0x80 // on the version: the sender's fleet is older than itself
	usedSteps     = 16   // steps of a count of units drawn
	massSteps     = 8    // steps of a mass byte in a doubling
)

const (
	groupSection = iota
	customerSection
	sectionCount
)

// How many bytes name an entry of a section, and how many masses follow.
var (
	keyBytes   = [sectionCount]int{1, 6}
	massCount  = [sectionCount]int{2, 2}
	usageBytes = [sectionCount]int{0, 6} // when the record was made, units drawn, the store, the ledger's word, attempts out
)

type entry struct {
	key        uint64
	mass       [2]float64
	generation byte    // changes where a record is made anew, and its count of units starts anew
	used       float64 // units drawn, as a count that wraps round
	balance    float64 // what the sender takes to be left or owed, as a share of the burst
	limitWord  byte    // the ledger's, of parts of the ceiling
	inFlight   byte    // attempts out and requests that wait to be sent
}

// tailBytes follow the use where the ledger has a word to say or attempts are out, which the top bit of made tells.
const tailBytes, tailFlag = 2, 0x80

// bytes gives how long a customer's entry is.
func (e entry) encodedSize() int {
	if e.limitWord == 0 && e.inFlight == 0 {
		return maxEntrySize(customerSection) - tailBytes
	}
	return maxEntrySize(customerSection)
}

// entryBytes gives how long an entry is at most.
func maxEntrySize(section int) int {
	return keyBytes[section] + massCount[section] + usageBytes[section]
}

// usedBetween gives the units drawn between two counts.
func usedBetween(from, to float64) float64 {
	return float64(uint16(int64(to*usedSteps))-uint16(int64(from*usedSteps))) / usedSteps
}

// meaning says in a byte for each section what its numbers stand for. While the gateways take new settings in one after
// another, what a peer says of groups or plans of other names is left out.
type schemaHash [sectionCount]byte

func (s Settings) schema() (m schemaHash) {
	h := fnv.New32a()
	for _, p := range s.Plans {
		fmt.Fprintf(h, "%q", p.Name)
	}
	m[customerSection] = byte(h.Sum32() ^ h.Sum32()>>16)
	for _, c := range s.Classes {
		fmt.Fprintf(h, "%q", c.Name)
	}
	m[groupSection] = byte(h.Sum32() ^ h.Sum32()>>16)
	return m
}

func packMessage(age time.Duration, elders bool, means schemaHash, list [sectionCount][]entry) []byte {
	m := make([]byte, headerBytes, messageBytes)
	if m[0] = wireVersion; elders {
		m[0] |= olderPeerFlag
	}
	binary.BigEndian.PutUint32(m[1:], uint32(min(age/time.Millisecond, math.MaxUint32)))
	copy(m[5:], means[:])
	for k := range list {
		m = append(m, byte(len(list[k])))
		for _, e := range list[k] {
			for i := keyBytes[k] - 1; i >= 0; i-- {
				m = append(m, byte(e.key>>(8*i)))
			}
			for i := 0; i < massCount[k]; i++ {
				step := math.Round(massSteps*math.Log2(math.Max(e.mass[i], 1e-9))) + 128
				m = append(m, byte(math.Max(0, math.Min(255, step))))
			}
			if usageBytes[k] > 0 {
				tail := []byte{e.limitWord, e.inFlight}
				if e.generation &^= tailFlag; e.encodedSize() == maxEntrySize(k) {
					e.generation |= tailFlag
				} else {
					tail = nil
				}
				m = binary.BigEndian.AppendUint16(append(m, e.generation), uint16(int64(e.used*usedSteps)))
				m = append(append(m, byte(int8(math.Round(127*math.Max(-1, math.Min(1, e.balance)))))), tail...)
			}
		}
	}
	return m
}

func unpackMessage(m []byte, means schemaHash) (age time.Duration, elders bool, list [sectionCount][]entry, ok bool) {
	if len(m) < headerBytes || len(m) > messageBytes || m[0]&^olderPeerFlag != wireVersion {
		return 0, false, list, false
	}
	elders = m[0]&olderPeerFlag != 0
	age = time.Duration(binary.BigEndian.Uint32(m[1:])) * time.Millisecond
	theirs := schemaHash(m[5:headerBytes])
	m = m[headerBytes:]
	for k := range list {
		if len(m) < 1 {
			return 0, false, list, false
		}
		n := int(m[0])
		m = m[1:]
		for ; n > 0; n-- {
			var e entry
			size, at := maxEntrySize(k), keyBytes[k]+massCount[k]
			if usageBytes[k] > 0 && len(m) > at && m[at]&tailFlag == 0 {
				size -= tailBytes
			}
			if len(m) < size {
				return 0, false, list, false
			}
			for i := 0; i < keyBytes[k]; i++ {
				e.key = e.key<<8 | uint64(m[i])
			}
			for i := 0; i < massCount[k]; i++ {
				if b := m[keyBytes[k]+i]; b > 0 {
					e.mass[i] = math.Exp2((float64(b) - 128) / massSteps)
				}
			}
			if usageBytes[k] > 0 {
				e.generation, e.balance = m[at]&^tailFlag, float64(int8(m[at+3]))/127
				e.used = float64(binary.BigEndian.Uint16(m[at+1:])) / usedSteps
				if size == maxEntrySize(k) {
					e.limitWord, e.inFlight = m[at+4], m[at+5]
				}
			}
			m = m[size:]
			list[k] = append(list[k], e)
		}
		if theirs[k] != means[k] {
			list[k] = nil
		}
	}
	return age, elders, list, len(m) == 0
}

// A question about one request: kind, token, units and the customer's name. The answer: kind, token, yes or no.
// What an answer tells in place of the guess: kind, the units more in sixteenths, signed, and the customer's name.
const (
	queryKind, answerKind, reconcileKind    = 0x41, 0x42, 0x43
	queryBytes, answerBytes, reconcileBytes = 13, 6, 9
)

// question is what a customer's home is asked about one request.
type ownerQuery struct {
	from        int // of whom it came, not in the message
	token       uint32
	customerKey uint64 // the name in messages
	units       float64
}

func packQuery(q ownerQuery) []byte {
	m := binary.BigEndian.AppendUint32([]byte{queryKind}, q.token)
	m = binary.BigEndian.AppendUint16(m, uint16(math.Min(math.Ceil(q.units*usedSteps), math.MaxUint16)))
	return append(m, binary.BigEndian.AppendUint64(nil, q.customerKey)[2:]...)
}

func unpackQuery(m []byte, from int) (q ownerQuery, ok bool) {
	if len(m) != queryBytes || m[0] != queryKind {
		return ownerQuery{}, false
	}
	q.from, q.token, q.units = from, binary.BigEndian.Uint32(m[1:]), float64(binary.BigEndian.Uint16(m[5:]))/usedSteps
	q.customerKey = binary.BigEndian.Uint64(append([]byte{0, 0}, m[7:]...))
	return q, true
}

// atHome names the record that a customer's home keeps of it: all of its set's use comes in there.
func ownerKey(name uint64, home int) uint64 { return name>>24<<24 | uint64(home&4095)<<12 | 1 }

func packAnswer(token uint32, yes bool) []byte {
	m := append(binary.BigEndian.AppendUint32([]byte{answerKind}, token), 0)
	if yes {
		m[answerBytes-1] = 1
	}
	return m
}

func unpackAnswer(m []byte) (token uint32, yes, ok bool) {
	if len(m) != answerBytes || m[0] != answerKind || m[answerBytes-1] > 1 {
		return 0, false, false
	}
	return binary.BigEndian.Uint32(m[1:]), m[answerBytes-1] == 1, true
}

func packReconcile(name uint64, more float64) []byte {
	steps := int16(math.Max(math.MinInt16, math.Min(math.MaxInt16, math.Round(more*usedSteps))))
	return append(binary.BigEndian.AppendUint16([]byte{reconcileKind}, uint16(steps)), binary.BigEndian.AppendUint64(nil, name)[2:]...)
}

func unpackReconcile(m []byte) (name uint64, more float64, ok bool) {
	if len(m) != reconcileBytes || m[0] != reconcileKind {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(append([]byte{0, 0}, m[3:]...)), float64(int16(binary.BigEndian.Uint16(m[1:]))) / usedSteps, true
}

// unpack is unpackMessage that counts what makes no sense.
func (g *Gateway) unpack(m []byte) (age time.Duration, elders bool, list [sectionCount][]entry, ok bool) {
	if age, elders, list, ok = unpackMessage(m, g.schema); !ok {
		g.invalidMessages++
	}
	return age, elders, list, ok
}

// tellName names a customer in messages: 16 bits of its name, its plan and its set, so that a gateway that has not
// met it can pass on what it hears. Where two share one, they are held to their sum.
func customerKey(id CustomerID, plan, first, set int) uint64 {
	return uint64(id)*0x9e3779b97f4a7c15>>48<<32 | uint64(plan&255)<<24 | uint64(first&4095)<<12 | uint64(set&4095)
}

func splitCustomerKey(name uint64) (plan, first, set int) {
	return int(name >> 24 & 255), int(name >> 12 & 4095), int(name & 4095)
}

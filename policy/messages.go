package policy

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// The format of messages between gateways.

// An update consists of a header and the sections. The header has the version, the sender's age in ms, and a byte of
// the schemaHash for each section. A section has a count and that many entries. An entry has a key and push-sum
// masses, each a byte on a logarithmic scale; a customer's entry also has the customer's usage. Numbers are
// big-endian.
const (
	messageBytes  = 256 // size of the longest update
	headerBytes   = 7
	wireVersion   = 7
	olderPeerFlag = 0x80 // set on the version byte for update.olderPeer
	usedSteps     = 16   // units are counted in sixteenths
	massSteps     = 8    // steps of a mass byte for each doubling of the mass
)

// The sections of an update, in order.
const (
	groupSection = iota
	customerSection
	sectionCount
)

// The layout of the entries of each section: bytes of the key, number of masses, and bytes of the usage. The usage has
// generation (1 byte), units used (2), balance (1), grant (1) and inFlight (1).
var (
	keyBytes   = [sectionCount]int{1, 6}
	massCount  = [sectionCount]int{2, 2}
	usageBytes = [sectionCount]int{0, 6}
)

// grant and inFlight are omitted if both are 0. If they are present, tailFlag is set on the generation.
const tailBytes, tailFlag = 2, 0x80

// update is the state that a gateway sends a peer at intervals.
type update struct {
	age       time.Duration // time since the sender's start; in ms in the message
	olderPeer bool          // the sender knows a gateway that is much older than itself
	entries   [sectionCount][]entry
}

// entry is the part of an update about one group or customer. A group's entry has only the key, which is the group's
// index, and the masses.
type entry struct {
	key        uint64
	mass       [2]float64
	generation byte    // of the sender's record; the count of units starts anew with each generation
	used       float64 // units drawn, as a count that wraps around
	balance    float64 // balance of the sender's copy of the bucket, as a share of the burst
	grant      byte    // deficit and grant of the sender's share of the hard limit, from ratelimit.BucketShare.Grant
	inFlight   byte    // attempts and queued requests
}

// encodedSize returns the size of a customer's entry in bytes.
func (e entry) encodedSize() int {
	if e.grant == 0 && e.inFlight == 0 {
		return maxEntrySize(customerSection) - tailBytes
	}
	return maxEntrySize(customerSection)
}

// maxEntrySize returns the greatest size of a section's entries in bytes.
func maxEntrySize(section int) int {
	return keyBytes[section] + massCount[section] + usageBytes[section]
}

// usedBetween returns the units drawn between two counts, of which the second may have wrapped around.
func usedBetween(from, to float64) float64 {
	return float64(uint16(int64(to*usedSteps))-uint16(int64(from*usedSteps))) / usedSteps
}

// schemaHash has a byte for each section: a hash of the names that the section's keys refer to. While the gateways
// adopt new settings one after another, entries from peers with other names of plans or classes are dropped.
type schemaHash [sectionCount]byte

// schema returns the hash of the names of plans and classes.
func (s Settings) schema() (hash schemaHash) {
	h := fnv.New32a()
	for _, p := range s.Plans {
		fmt.Fprintf(h, "%q", p.Name)
	}
	hash[customerSection] = byte(h.Sum32() ^ h.Sum32()>>16)
	for _, c := range s.Classes {
		fmt.Fprintf(h, "%q", c.Name)
	}
	hash[groupSection] = byte(h.Sum32() ^ h.Sum32()>>16)
	return hash
}

// packUpdate returns the message of an update. The entries must fit into messageBytes.
func packUpdate(u update, schema schemaHash) []byte {
	m := make([]byte, headerBytes, messageBytes)
	if m[0] = wireVersion; u.olderPeer {
		m[0] |= olderPeerFlag
	}
	binary.BigEndian.PutUint32(m[1:], uint32(min(u.age/time.Millisecond, math.MaxUint32)))
	copy(m[5:], schema[:])
	for section, list := range u.entries {
		m = append(m, byte(len(list)))
		for _, e := range list {
			m = appendEntry(m, section, e)
		}
	}
	return m
}

// appendEntry appends an entry of a section.
func appendEntry(m []byte, section int, e entry) []byte {
	for i := keyBytes[section] - 1; i >= 0; i-- {
		m = append(m, byte(e.key>>(8*i)))
	}
	for i := 0; i < massCount[section]; i++ {
		step := math.Round(massSteps*math.Log2(math.Max(e.mass[i], 1e-9))) + 128
		m = append(m, byte(math.Max(0, math.Min(255, step))))
	}
	if usageBytes[section] == 0 {
		return m
	}
	withTail := e.encodedSize() == maxEntrySize(section)
	if e.generation &^= tailFlag; withTail {
		e.generation |= tailFlag
	}
	m = binary.BigEndian.AppendUint16(append(m, e.generation), uint16(int64(e.used*usedSteps)))
	m = append(m, byte(int8(math.Round(127*math.Max(-1, math.Min(1, e.balance))))))
	if withTail {
		m = append(m, e.grant, e.inFlight)
	}
	return m
}

// unpackUpdate reads an update. ok reports whether the message is a valid update. Sections with another schema are
// dropped.
func unpackUpdate(m []byte, schema schemaHash) (u update, ok bool) {
	if len(m) < headerBytes || len(m) > messageBytes || m[0]&^olderPeerFlag != wireVersion {
		return update{}, false
	}
	u.olderPeer = m[0]&olderPeerFlag != 0
	u.age = time.Duration(binary.BigEndian.Uint32(m[1:])) * time.Millisecond
	peerSchema := schemaHash(m[5:headerBytes])
	m = m[headerBytes:]
	for section := range u.entries {
		if len(m) < 1 {
			return update{}, false
		}
		n := int(m[0])
		m = m[1:]
		for ; n > 0; n-- {
			e, size := readEntry(m, section)
			if size == 0 {
				return update{}, false
			}
			m = m[size:]
			u.entries[section] = append(u.entries[section], e)
		}
		if peerSchema[section] != schema[section] {
			u.entries[section] = nil
		}
	}
	return u, len(m) == 0
}

// readEntry reads an entry and returns it with its size, which is 0 if the message is too short.
func readEntry(m []byte, section int) (e entry, size int) {
	size, usage := maxEntrySize(section), keyBytes[section]+massCount[section]
	if usageBytes[section] > 0 && len(m) > usage && m[usage]&tailFlag == 0 {
		size -= tailBytes
	}
	if len(m) < size {
		return entry{}, 0
	}
	for i := 0; i < keyBytes[section]; i++ {
		e.key = e.key<<8 | uint64(m[i])
	}
	for i := 0; i < massCount[section]; i++ {
		if b := m[keyBytes[section]+i]; b > 0 {
			e.mass[i] = math.Exp2((float64(b) - 128) / massSteps)
		}
	}
	if usageBytes[section] > 0 {
		e.generation, e.balance = m[usage]&^tailFlag, float64(int8(m[usage+3]))/127
		e.used = float64(binary.BigEndian.Uint16(m[usage+1:])) / usedSteps
		if size == maxEntrySize(section) {
			e.grant, e.inFlight = m[usage+4], m[usage+5]
		}
	}
	return e, size
}

// The messages between a gateway and a customer's owner, by their fields:
//
//   - query: kind, token, units in sixteenths, customer key.
//   - answer: kind, token, 1 if admitted and 0 otherwise.
//   - reconciliation: kind, units drawn beyond the estimate in signed sixteenths, customer key.
const (
	queryKind, answerKind, reconcileKind    = 0x41, 0x42, 0x43
	queryBytes, answerBytes, reconcileBytes = 13, 6, 9
)

// ownerQuery is a query to a customer's owner whether a request is within the quota.
type ownerQuery struct {
	from        int // the gateway that asks; not in the message
	token       uint32
	customerKey uint64
	units       float64
}

// packQuery returns the message of a query, with the units rounded up.
func packQuery(q ownerQuery) []byte {
	m := binary.BigEndian.AppendUint32([]byte{queryKind}, q.token)
	m = binary.BigEndian.AppendUint16(m, uint16(math.Min(math.Ceil(q.units*usedSteps), math.MaxUint16)))
	return appendKey(m, q.customerKey)
}

// unpackQuery reads a query. ok reports whether the message is a query.
func unpackQuery(m []byte, from int) (q ownerQuery, ok bool) {
	if len(m) != queryBytes || m[0] != queryKind {
		return ownerQuery{}, false
	}
	q.from, q.token, q.units = from, binary.BigEndian.Uint32(m[1:]), float64(binary.BigEndian.Uint16(m[5:]))/usedSteps
	q.customerKey = readKey(m[7:])
	return q, true
}

// packAnswer returns the message of an owner's answer to the query with the given token.
func packAnswer(token uint32, admitted bool) []byte {
	m := append(binary.BigEndian.AppendUint32([]byte{answerKind}, token), 0)
	if admitted {
		m[answerBytes-1] = 1
	}
	return m
}

// unpackAnswer reads an answer. ok reports whether the message is an answer.
func unpackAnswer(m []byte) (token uint32, admitted, ok bool) {
	if len(m) != answerBytes || m[0] != answerKind || m[answerBytes-1] > 1 {
		return 0, false, false
	}
	return binary.BigEndian.Uint32(m[1:]), m[answerBytes-1] == 1, true
}

// packReconcile returns the message that reports how many units more than estimated a customer's request drew. excess
// is negative if it drew less.
func packReconcile(key uint64, excess float64) []byte {
	steps := int16(math.Max(math.MinInt16, math.Min(math.MaxInt16, math.Round(excess*usedSteps))))
	return appendKey(binary.BigEndian.AppendUint16([]byte{reconcileKind}, uint16(steps)), key)
}

// unpackReconcile reads a reconciliation. ok reports whether the message is a reconciliation.
func unpackReconcile(m []byte) (key uint64, excess float64, ok bool) {
	if len(m) != reconcileBytes || m[0] != reconcileKind {
		return 0, 0, false
	}
	return readKey(m[3:]), float64(int16(binary.BigEndian.Uint16(m[1:]))) / usedSteps, true
}

// appendKey appends the six bytes of a customer key.
func appendKey(m []byte, key uint64) []byte {
	return append(m, binary.BigEndian.AppendUint64(nil, key)[2:]...)
}

// readKey reads the six bytes of a customer key.
func readKey(m []byte) uint64 { return binary.BigEndian.Uint64(append([]byte{0, 0}, m...)) }

// customerKey returns the key that identifies a customer in messages: 16 bits of a hash of its ID, 8 bits of its plan,
// and 12 bits each of the first gateway and the size of its set. A gateway that has had no request of the customer can
// thus handle and pass on updates of it. If two customers have the same key, their usage is added up.
func customerKey(id CustomerID, plan, firstGateway, setSize int) uint64 {
	const hash = 0x9e3779b97f4a7c15 // multiplicative hashing by the golden ratio; Knuth
	return uint64(id)*hash>>48<<32 | uint64(plan&255)<<24 | uint64(firstGateway&4095)<<12 | uint64(setSize&4095)
}

// splitCustomerKey returns the parts of a customer key other than the hash.
func splitCustomerKey(key uint64) (plan, firstGateway, setSize int) {
	return int(key >> 24 & 255), int(key >> 12 & 4095), int(key & 4095)
}

// ownerKey returns the key of the record in which a customer's owner keeps its bucket. The key is that of a customer
// served by the owner alone, because all usage is counted there.
func ownerKey(key uint64, owner int) uint64 { return key>>24<<24 | uint64(owner&4095)<<12 | 1 }

package datagram

import (
	"encoding/binary"
	"errors"

	"sprucelane.example/sprucelane/coord/membership"
)

const (
	// magic is the start of every datagram. Its last byte is the version of the format.
	magic = "SPM\x01"
	// maxDatagramSize bounds a datagram in bytes, so that it fits into an Ethernet frame and isn't
	// fragmented.
	maxDatagramSize = 1400
	// headerSize is the size in bytes of magic and system tag.
	headerSize = len(magic) + 8
	// maxStringLength bounds a string in bytes: its length is sent in one byte.
	maxStringLength = 255
	// maxListLength bounds a list in entries, so that a malformed datagram can't cause a large allocation.
	maxListLength = 128
)

// errMalformed reports a datagram that isn't a valid message of this system.
var errMalformed = errors.New("datagram: malformed")

// encode returns the datagrams of a message, usually one. Any further datagrams only carry the updates that
// didn't fit into the earlier ones.
func encode(tag uint64, message membership.Message) [][]byte {
	var datagrams [][]byte
	rest := message.Updates
	for {
		message.Updates = nil
		data := appendHeader(nil, tag, message)
		countOffset := len(data)
		data = append(data, 0)
		count := 0
		for len(rest) > 0 && count < maxListLength {
			next := appendUpdate(data, rest[0])
			if len(next) > maxDatagramSize && count > 0 {
				break
			}
			data = next
			count++
			rest = rest[1:]
		}
		data[countOffset] = byte(count)
		datagrams = append(datagrams, data)
		if len(rest) == 0 {
			return datagrams
		}
		message = continuation(message)
	}
}

// continuation returns the message that carries the remaining updates of another message. It is a Heartbeat,
// which has no effect besides its updates and showing that the sender is alive. The continuation of a Sync is
// a Sync, because the receiver must know that the updates come from a table.
func continuation(message membership.Message) membership.Message {
	kind := membership.Heartbeat
	if message.Kind == membership.Sync {
		kind = membership.Sync
	}
	return membership.Message{Kind: kind, From: message.From, Incarnation: message.Incarnation}
}

// appendHeader appends all fields of a message except its updates.
func appendHeader(data []byte, tag uint64, message membership.Message) []byte {
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint64(data, tag)
	data = append(data, byte(message.Kind))
	data = appendString(data, message.From)
	data = binary.AppendUvarint(data, message.Incarnation)
	data = binary.AppendUvarint(data, message.Sequence)
	data = appendString(data, message.Target)
	data = binary.AppendVarint(data, message.LastContactMillis)
	data = binary.BigEndian.AppendUint64(data, message.Digest)
	data = append(data, byte(len(message.Digests)))
	for _, digest := range message.Digests {
		data = binary.BigEndian.AppendUint64(data, digest)
	}
	return data
}

// appendUpdate appends one update.
func appendUpdate(data []byte, update membership.Update) []byte {
	data = append(data, byte(update.State))
	data = binary.AppendUvarint(data, update.Incarnation)
	data = appendString(data, update.Member.Name)
	data = appendString(data, update.Member.Address)
	data = appendString(data, update.Member.Role)
	return appendString(data, update.Member.Zone)
}

// appendString appends the length of a string and the string, which it truncates to maxStringLength.
func appendString(data []byte, text string) []byte {
	text = text[:min(len(text), maxStringLength)]
	data = append(data, byte(len(text)))
	return append(data, text...)
}

// decode returns the message in a datagram, or errMalformed.
func decode(tag uint64, data []byte) (membership.Message, error) {
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		return membership.Message{}, errMalformed
	}
	if binary.BigEndian.Uint64(data[len(magic):]) != tag {
		return membership.Message{}, errMalformed
	}
	r := reader{data: data[headerSize:]}
	message := membership.Message{
		Kind:              membership.MessageKind(r.byte()),
		From:              r.string(),
		Incarnation:       r.uvarint(),
		Sequence:          r.uvarint(),
		Target:            r.string(),
		LastContactMillis: r.varint(),
		Digest:            r.uint64(),
	}
	for range r.listLength() {
		message.Digests = append(message.Digests, r.uint64())
	}
	for range r.listLength() {
		message.Updates = append(message.Updates, r.update())
	}
	if r.failed || len(r.data) > 0 || message.From == "" {
		return membership.Message{}, errMalformed
	}
	return message, nil
}

// reader reads the fields of a datagram in order. After a failure it sets failed and returns meaningless
// values, so that the caller checks failed only once at the end.
type reader struct {
	data   []byte
	failed bool
}

// next returns the next count bytes. After a failure it returns zeros, at most 8, which is enough for any field
// of fixed size.
func (r *reader) next(count int) []byte {
	if r.failed || count > len(r.data) {
		r.failed = true
		r.data = nil
		return make([]byte, min(count, 8))
	}
	taken := r.data[:count]
	r.data = r.data[count:]
	return taken
}

// byte returns one byte.
func (r *reader) byte() byte { return r.next(1)[0] }

// uint64 returns an integer of eight bytes.
func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// listLength returns the number of entries of a list.
func (r *reader) listLength() int {
	count := int(r.byte())
	if count > maxListLength {
		r.failed = true
		return 0
	}
	return count
}

// string reads the length of a string and returns the string.
func (r *reader) string() string {
	length := int(r.byte())
	if r.failed || length > len(r.data) {
		r.failed = true
		return ""
	}
	return string(r.next(length))
}

// uvarint returns an unsigned integer of variable length.
func (r *reader) uvarint() uint64 {
	value, width := binary.Uvarint(r.data)
	if width <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[width:]
	return value
}

// varint returns a signed integer of variable length.
func (r *reader) varint() int64 {
	value, width := binary.Varint(r.data)
	if width <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[width:]
	return value
}

// update returns one update.
func (r *reader) update() membership.Update {
	return membership.Update{
		State:       membership.State(r.byte()),
		Incarnation: r.uvarint(),
		Member:      membership.Member{Name: r.string(), Address: r.string(), Role: r.string(), Zone: r.string()},
	}
}

package datagram

import (
	"encoding/binary"
	"errors"

	"sprucelane.example/sprucelane/coord/membership"
)

const (
	magic = "SPM\x01" // the last byte is the version

	// maxDatagram bounds what is sent in one datagram in bytes, so that it isn't split on its way.
	maxDatagramSize = 1400
	// headerSize is the size in bytes of magic and system tag.
	headerSize = len(magic) + 8
	// maxText bounds a string in bytes, and maxList a list in entries, in what is received.
	maxStringLength = 255
	maxListLength   = 128
)

// errMalformed reports a datagram that is no message of this system.
var errMalformed = errors.New("datagram: malformed")

// encode returns the datagrams of a message. Those after the first carry nothing but the rest of the news.
func encode(tag uint64, message membership.Message) [][]byte {
	var datagrams [][]byte
	rest := message.Updates
	for {
		message.Updates = nil
		data := appendHeader(nil, tag, message)
		counter := len(data)
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
		data[counter] = byte(count)
		datagrams = append(datagrams, data)
		if len(rest) == 0 {
			return datagrams
		}
		message = continuation(message)
	}
}

// continuation returns the message that carries the rest of another one's news.
func continuation(message membership.Message) membership.Message {
	kind := membership.Heartbeat
	if message.Kind == membership.Sync {
		kind = membership.Sync
	}
	return membership.Message{Kind: kind, From: message.From, Incarnation: message.Incarnation}
}

// appendFixed appends all of a message but its news.
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

// appendUpdate appends one piece of news.
func appendUpdate(data []byte, update membership.Update) []byte {
	data = append(data, byte(update.State))
	data = binary.AppendUvarint(data, update.Incarnation)
	data = appendString(data, update.Member.Name)
	data = appendString(data, update.Member.Address)
	data = appendString(data, update.Member.Role)
	return appendString(data, update.Member.Zone)
}

// appendText appends a string after its length. Longer ones than a datagram may hold are cut.
func appendString(data []byte, text string) []byte {
	text = text[:min(len(text), maxStringLength)]
	data = append(data, byte(len(text)))
	return append(data, text...)
}

// decode returns the message in a datagram.
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

// reader takes fields off the front of a datagram. After a failure it returns zero values.
type reader struct {
	data   []byte
	failed bool
}

// take returns the next bytes.
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

func (r *reader) byte() byte     { return r.next(1)[0] }
func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// count returns the length of a list.
func (r *reader) listLength() int {
	count := int(r.byte())
	if count > maxListLength {
		r.failed = true
		return 0
	}
	return count
}

// text returns a string.
func (r *reader) string() string {
	length := int(r.byte())
	if r.failed || length > len(r.data) {
		r.failed = true
		return ""
	}
	return string(r.next(length))
}

// unsigned returns a varint.
func (r *reader) uvarint() uint64 {
	value, width := binary.Uvarint(r.data)
	if width <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[width:]
	return value
}

// signed returns a signed varint.
func (r *reader) varint() int64 {
	value, width := binary.Varint(r.data)
	if width <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[width:]
	return value
}

// update returns one piece of news.
func (r *reader) update() membership.Update {
	return membership.Update{
		State:       membership.State(r.byte()),
		Incarnation: r.uvarint(),
		Member:      membership.Member{Name: r.string(), Address: r.string(), Role: r.string(), Zone: r.string()},
	}
}

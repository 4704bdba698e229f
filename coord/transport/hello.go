package transport

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	// helloMagic and helloVersion are the start of each hello. A peer with another version is rejected.
	helloMagic   = "SPL"
	helloVersion = 1
	// maxHello bounds the body of a hello in bytes.
	maxHello = 4096
	// maxHeartbeat bounds the heartbeat that a side may announce.
	maxHeartbeat = time.Hour
)

// helloStatus reports whether the sender accepts the connection. The numbers are part of the wire format.
type helloStatus byte

const (
	helloAccepted helloStatus = iota
	helloOtherSystem
	helloRejected
)

// hello is the first message of each side. The package comment describes its layout.
type hello struct {
	status    helloStatus   // always helloAccepted from a client, which sends first
	heartbeat time.Duration // in whole milliseconds; zero for none
	identity  Identity
}

// write sends the hello with one write. It returns ErrFrameTooLarge if the identity makes the hello larger than
// maxHello.
func (h hello) write(out io.Writer) error {
	body := []byte{byte(h.status)}
	body = binary.BigEndian.AppendUint32(body, milliseconds(h.heartbeat))
	for _, text := range h.identity.fields() {
		body = binary.BigEndian.AppendUint16(body, uint16(min(len(*text), math.MaxUint16)))
		body = append(body, *text...)
	}
	if len(body) > maxHello {
		return fmt.Errorf("%w: hello of %d bytes", ErrFrameTooLarge, len(body))
	}
	message := append([]byte(helloMagic), helloVersion)
	message = binary.BigEndian.AppendUint16(message, uint16(len(body)))
	_, err := out.Write(append(message, body...))
	return err
}

// readHello reads the hello of a peer. It returns ErrUnknownProtocol, ErrVersionMismatch, ErrFrameTooLarge,
// ErrCorrupt or an error of the connection.
func readHello(in io.Reader) (hello, error) {
	var start [len(helloMagic) + 1]byte
	if _, err := io.ReadFull(in, start[:]); err != nil {
		return hello{}, err
	}
	if string(start[:len(helloMagic)]) != helloMagic {
		return hello{}, ErrUnknownProtocol
	}
	if version := start[len(helloMagic)]; version != helloVersion {
		return hello{}, fmt.Errorf("%w: %d", ErrVersionMismatch, version)
	}
	var size [2]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return hello{}, err
	}
	length := int(binary.BigEndian.Uint16(size[:]))
	if length > maxHello {
		return hello{}, fmt.Errorf("%w: hello of %d bytes", ErrFrameTooLarge, length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return hello{}, err
	}
	return parseHello(body)
}

// parseHello parses the body of a hello. Bytes after the identity are ignored, so that later versions may
// append fields.
func parseHello(body []byte) (hello, error) {
	if len(body) < 5 {
		return hello{}, fmt.Errorf("%w: short hello", ErrCorrupt)
	}
	parsed := hello{status: helloStatus(body[0])}
	parsed.heartbeat = time.Duration(binary.BigEndian.Uint32(body[1:])) * time.Millisecond
	if parsed.heartbeat > maxHeartbeat {
		return hello{}, fmt.Errorf("%w: heartbeat of %s is too long", ErrCorrupt, parsed.heartbeat)
	}
	body = body[5:]
	for _, text := range parsed.identity.fields() {
		if len(body) < 2 {
			return hello{}, fmt.Errorf("%w: short hello", ErrCorrupt)
		}
		length := int(binary.BigEndian.Uint16(body))
		body = body[2:]
		if len(body) < length {
			return hello{}, fmt.Errorf("%w: short hello", ErrCorrupt)
		}
		*text = string(body[:length])
		body = body[length:]
	}
	return parsed, nil
}

// fields returns pointers to the strings of an identity in the order of the wire format.
func (i *Identity) fields() []*string {
	return []*string{&i.System, &i.Node, &i.Role, &i.Zone, &i.Address, &i.Incarnation}
}

// milliseconds returns a heartbeat in whole milliseconds, limited to the range from 0 to maxHeartbeat.
func milliseconds(heartbeat time.Duration) uint32 {
	return uint32(min(max(heartbeat, 0), maxHeartbeat).Milliseconds())
}

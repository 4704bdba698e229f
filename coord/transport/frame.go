package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// frameKind is the kind of a frame. The numbers are part of the wire format.
type frameKind byte

const (
	frameRequest frameKind = iota + 1 // from a client; its answer carries the same call number
	frameReply                        // reply of the handler
	frameFailure                      // error of the handler, a RemoteError
	frameOneWay                       // from either side, without an answer
	framePing                         // without payload; shows that the sender is alive
)

const (
	// frameResetBit is set in the kind byte if the receiver must first discard all types.
	frameResetBit = 0x80
	// frameHeaderSize is the size in bytes of length, kind and call number.
	frameHeaderSize = 4 + 1 + 4
	// readChunk bounds the memory in bytes that a frame takes by its claimed length alone: the buffer of a payload
	// is enlarged to at most 2*readChunk beyond the bytes that have arrived.
	readChunk = 256 << 10
)

// frame is a received frame.
type frame struct {
	kind    frameKind
	reset   bool    // the receiver must first discard all types
	call    uint32  // call number; 0 for one-way messages and pings
	payload *buffer // nil if empty; must be released
}

// appendHeader appends the header of a frame with length 0. setLength sets the length once the payload is
// complete.
func appendHeader(out *buffer, kind frameKind, reset bool, call uint32) {
	if reset {
		kind |= frameResetBit
	}
	out.data = append(out.data, 0, 0, 0, 0, byte(kind))
	out.data = binary.BigEndian.AppendUint32(out.data, call)
}

// setLength sets the length in the header of a complete frame.
func setLength(frame []byte) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderSize))
}

// frameReader reads frames. A payload may have at most limit bytes.
type frameReader struct {
	in     io.Reader
	limit  int
	header [frameHeaderSize]byte
}

// next reads one frame. It returns ErrFrameTooLarge, ErrCorrupt or an error of the connection.
func (r *frameReader) next() (frame, error) {
	header := r.header[:]
	if _, err := io.ReadFull(r.in, header); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header)
	if uint64(length) > uint64(r.limit) {
		return frame{}, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	received := frame{
		kind:  frameKind(header[4] &^ frameResetBit),
		reset: header[4]&frameResetBit != 0,
		call:  binary.BigEndian.Uint32(header[5:]),
	}
	if received.kind < frameRequest || received.kind > framePing {
		return frame{}, fmt.Errorf("%w: unknown frame kind %d", ErrCorrupt, received.kind)
	}
	payload, err := r.payload(int(length))
	if err != nil {
		return frame{}, err
	}
	received.payload = payload
	return received, nil
}

// payload reads a payload of length bytes. It allocates memory as the bytes arrive.
func (r *frameReader) payload(length int) (*buffer, error) {
	if length == 0 {
		return nil, nil
	}
	payload := getBuffer()
	for len(payload.data) < length {
		start := len(payload.data)
		end := min(length, start+readChunk)
		payload.data = grow(payload.data, end)
		if _, err := io.ReadFull(r.in, payload.data[start:end]); err != nil {
			payload.release()
			return nil, err
		}
	}
	return payload, nil
}

// grow returns data extended to length bytes. It reuses the memory of data if the capacity suffices.
func grow(data []byte, length int) []byte {
	if length <= cap(data) {
		return data[:length]
	}
	larger := make([]byte, length, max(length, min(2*cap(data), length+readChunk)))
	copy(larger, data)
	return larger
}

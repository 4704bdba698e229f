package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// frameKind tells what a frame carries. Its numbers are part of the wire format.
type frameKind byte

const (
	frameRequest frameKind = iota + 1 // of a client, to be answered with its call number
	frameReply                        // the handler's reply
	frameFailure                      // the handler's error, a RemoteError
	frameOneWay                       // of either side, without an answer
	framePing                         // without payload; only shows that the sender is alive
)

const (
	// frameResetBit is set in the kind byte if the receiver must forget all types first.
	frameResetBit = 0x80
	// frameHeaderSize is the size in bytes of length, kind and call number.
	frameHeaderSize = 4 + 1 + 4
	// readChunk bounds the memory in bytes that a frame takes by its claimed length alone, before any of it
	// has arrived.
	readChunk = 256 << 10
)

// frame is one frame as received.
type frame struct {
	kind    frameKind
	reset   bool    // the receiver must forget all types first
	call    uint32  // the number of a call; 0 for one-way messages and pings
	payload *buffer // to be released; nil if empty
}

// appendHeader appends the header of a frame, with the length 0: setLength sets it once the payload is known.
func appendHeader(out *buffer, kind frameKind, reset bool, call uint32) {
	if reset {
		kind |= frameResetBit
	}
	out.data = append(out.data, 0, 0, 0, 0, byte(kind))
	out.data = binary.BigEndian.AppendUint32(out.data, call)
}

// setLength sets the length in the header of a frame that is complete.
func setLength(frame []byte) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderSize))
}

// frameReader reads frames whose payloads have at most limit bytes.
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
		return frame{}, fmt.Errorf("%w: kind %d", ErrCorrupt, received.kind)
	}
	payload, err := r.payload(int(length))
	if err != nil {
		return frame{}, err
	}
	received.payload = payload
	return received, nil
}

// payload reads length bytes, and allocates memory as they arrive.
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

// grow returns data extended to a length, in place if its capacity allows.
func grow(data []byte, length int) []byte {
	if length <= cap(data) {
		return data[:length]
	}
	larger := make([]byte, length, max(length, min(2*cap(data), length+readChunk)))
	copy(larger, data)
	return larger
}

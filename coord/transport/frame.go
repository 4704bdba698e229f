package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// frameKind tells what a frame carries.
type frameKind byte

const (
	frameRequest frameKind = iota + 1
	frameReply
	frameFailure
	frameOneWay
	framePing
)

const (
	// frameReset is set in the kind byte where the receiver must forget all types first.
	frameReset = 0x80
	// frameHeader is the size in bytes of length, kind and call number.
	frameHeader = 4 + 1 + 4
	// readChunk bounds the memory in bytes that a frame's length alone can take.
	readChunk = 256 << 10
	// keepBuffer is the largest buffer in bytes that is kept for the next frame.
	keepBuffer = 16 << 10
)

// frame is one frame as received. Its payload is valid until the next one is read.
type frame struct {
	kind    frameKind
	reset   bool
	call    uint32
	payload []byte
}

// appendHeader appends a frame's header whose length is set later by setLength.
func appendHeader(out *bytes.Buffer, kind frameKind, reset bool, call uint32) {
	var header [frameHeader]byte
	header[4] = byte(kind)
	if reset {
		header[4] |= frameReset
	}
	binary.BigEndian.PutUint32(header[5:], call)
	out.Write(header[:])
}

// setLength sets the length in the header at the start of a whole frame.
func setLength(frame []byte) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
}

// frameReader reads frames with a bounded payload.
type frameReader struct {
	in     io.Reader
	limit  int
	buffer []byte
}

// next reads one frame.
func (r *frameReader) next() (frame, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if uint64(length) > uint64(r.limit) {
		return frame{}, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, length)
	}
	received := frame{
		kind:  frameKind(header[4] &^ frameReset),
		reset: header[4]&frameReset != 0,
		call:  binary.BigEndian.Uint32(header[5:]),
	}
	if received.kind < frameRequest || received.kind > framePing {
		return frame{}, fmt.Errorf("%w: kind %d", ErrCorrupt, received.kind)
	}
	payload, err := r.payload(int(length))
	received.payload = payload
	return received, err
}

// payload reads length bytes, taking memory as they arrive.
func (r *frameReader) payload(length int) ([]byte, error) {
	if cap(r.buffer) > keepBuffer {
		r.buffer = nil
	}
	buffer := r.buffer[:0]
	for len(buffer) < length {
		start := len(buffer)
		end := min(length, start+readChunk)
		buffer = grow(buffer, end)
		if _, err := io.ReadFull(r.in, buffer[start:end]); err != nil {
			return nil, err
		}
	}
	r.buffer = buffer
	return buffer, nil
}

// grow returns the buffer with this length and its old contents.
func grow(buffer []byte, length int) []byte {
	if length <= cap(buffer) {
		return buffer[:length]
	}
	larger := make([]byte, length, max(length, min(2*cap(buffer), length+readChunk)))
	copy(larger, buffer)
	return larger
}

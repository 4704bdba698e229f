package transport

import (
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
	frameResetBit = 0x80
	// frameHeader is the size in bytes of length, kind and call number.
	frameHeaderSize = 4 + 1 + 4
	// readChunk bounds the memory in bytes that a frame's length alone can take.
	readChunk = 256 << 10
)

// frame is one frame as received.
type frame struct {
	kind    frameKind
	reset   bool
	call    uint32
	payload *buffer // nil for an empty one; to be released
}

// appendHeader appends a frame's header whose length is set later by setLength.
func appendHeader(out *buffer, kind frameKind, reset bool, call uint32) {
	if reset {
		kind |= frameResetBit
	}
	out.data = append(out.data, 0, 0, 0, 0, byte(kind))
	out.data = binary.BigEndian.AppendUint32(out.data, call)
}

// setLength sets the length in the header at the start of a whole frame.
func setLength(frame []byte) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderSize))
}

// frameReader reads frames with a bounded payload.
type frameReader struct {
	in     io.Reader
	limit  int
	header [frameHeaderSize]byte
}

// next reads one frame.
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

// payload reads length bytes, taking memory as they arrive.
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

// grow returns the data with this length and its old contents.
func grow(data []byte, length int) []byte {
	if length <= cap(data) {
		return data[:length]
	}
	larger := make([]byte, length, max(length, min(2*cap(data), length+readChunk)))
	copy(larger, data)
	return larger
}

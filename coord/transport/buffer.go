package transport

import "sync"

// keepBuffer is the largest buffer in bytes that is kept for other frames.
const maxPooledBuffer = 1 << 20

// buffer is memory for frames. A connection holds one only while it has frames in it.
type buffer struct{ data []byte }

// buffers holds the memory that no connection uses, until the next collection of garbage.
var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// takeBuffer returns an empty buffer.
func getBuffer() *buffer {
	return bufferPool.Get().(*buffer)
}

// release gives a buffer back. A nil one is ignored.
func (b *buffer) release() {
	if b == nil || cap(b.data) > maxPooledBuffer {
		return
	}
	b.data = b.data[:0]
	bufferPool.Put(b)
}

// len returns the bytes in a buffer, which may be nil.
func (b *buffer) len() int {
	if b == nil {
		return 0
	}
	return len(b.data)
}

// bytes returns the contents of a buffer, which may be nil.
func (b *buffer) bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

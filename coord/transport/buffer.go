package transport

import "sync"

// maxPooledBuffer is the largest buffer in bytes that goes back to the pool: a few large frames must not keep
// their memory in use.
const maxPooledBuffer = 1 << 20

// buffer is memory for frames. A connection holds one only while it has frames in it, so that idle
// connections cost little. The zero pointer is an empty buffer.
type buffer struct{ data []byte }

// bufferPool holds the buffers that no connection uses.
var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// getBuffer returns an empty buffer from the pool.
func getBuffer() *buffer {
	return bufferPool.Get().(*buffer)
}

// release returns a buffer to the pool. Its contents must not be used afterwards.
func (b *buffer) release() {
	if b == nil || cap(b.data) > maxPooledBuffer {
		return
	}
	b.data = b.data[:0]
	bufferPool.Put(b)
}

// len returns the number of bytes in a buffer.
func (b *buffer) len() int {
	if b == nil {
		return 0
	}
	return len(b.data)
}

// bytes returns the contents of a buffer, valid until it is released.
func (b *buffer) bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

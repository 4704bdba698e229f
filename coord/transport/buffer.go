package transport

import "sync"

// maxPooledBuffer is the largest capacity in bytes of a buffer that is returned to the pool, so that a few large
// frames don't keep their memory allocated.
const maxPooledBuffer = 1 << 20

// buffer holds encoded frames or a payload. A connection has a buffer only while there are frames in it, so that
// idle connections use little memory. A nil pointer is an empty buffer.
type buffer struct{ data []byte }

// bufferPool holds unused buffers.
var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// getBuffer returns an empty buffer from the pool.
func getBuffer() *buffer {
	return bufferPool.Get().(*buffer)
}

// release returns a buffer to the pool unless it is too large. Its contents must not be used afterwards.
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

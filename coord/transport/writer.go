package transport

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// writeChunk is the number of bytes written per write call. Each call has a new deadline, so that a peer that
// reads slowly isn't disconnected as one that reads nothing.
const writeChunk = 256 << 10

// writeLoop writes all pending frames together, with one system call per writeChunk, until the link ends.
func (l *link) writeLoop() {
	for {
		select {
		case <-l.wake:
		case <-l.done:
			return
		}
		batch, last := l.dequeueAll()
		if err := l.write(batch.bytes()); err != nil {
			l.end(err)
			return
		}
		batch.release()
		time.Sleep(l.options.injected.handedOffAfterWrite)
		l.mutex.Lock()
		if l.options.injected.handedOffAfterWrite > 0 {
			l.handedOff = l.dequeued
		}
		l.writing = false
		l.mutex.Unlock()
		if last {
			l.end(ErrClosed)
			return
		}
	}
}

// dequeueAll returns all pending frames, or nil, and whether the link must end after they are written. The frames
// count as handed to the network from now on, before the write, because a failed write may have sent any part
// of them.
func (l *link) dequeueAll() (batch *buffer, last bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cause != nil {
		return nil, true
	}
	batch = l.encoder.out
	l.encoder.out = nil
	l.pendingFrames = 0
	l.writing = batch.len() > 0
	l.writerStalled = false
	if l.capacityFreed != nil {
		close(l.capacityFreed)
		l.capacityFreed = nil
	}
	l.dequeued = l.queued
	if l.options.injected.handedOffAfterWrite == 0 {
		l.handedOff = l.dequeued
	}
	l.lastSend = time.Now()
	return batch, l.closing
}

// write writes a batch of frames in chunks of up to writeChunk bytes, each with a new deadline.
func (l *link) write(batch []byte) error {
	for len(batch) > 0 {
		chunk := batch[:min(len(batch), writeChunk)]
		if err := l.connection.SetWriteDeadline(time.Now().Add(l.options.WriteTimeout)); err != nil {
			return err
		}
		if _, err := l.connection.Write(chunk); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return fmt.Errorf("%w: %w", ErrWriteTimeout, err)
			}
			return err
		}
		batch = batch[len(chunk):]
	}
	return nil
}

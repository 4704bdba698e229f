package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// writeChunk is the progress in bytes that renews the deadline of a write.
	writeChunk = 256 << 10
	// roomWait is how long a message waits for room in the queue.
	capacityWait = 5 * time.Millisecond
	// readBuffer is the size in bytes of a connection's read buffer.
	readBufferSize = 4 << 10
)

// link is one connection after its handshake, the same at both ends: a queue of encoded frames with its writer, a
// reader, and pings.
type link struct {
	connection net.Conn
	options    *Options
	remote     Identity
	heartbeat  time.Duration
	reader     frameReader
	decoder    *decoder
	done       chan struct{} // closed once the link has ended

	mutex         sync.Mutex
	encoder       *encoder // its buffer holds the pending frames, those not yet handed to the network
	pendingFrames int      // the number of pending frames
	queued        uint64   // frames ever queued
	dequeued      uint64   // frames ever taken by the writer
	handedOff     uint64   // frames ever handed to the network
	lastSend      time.Time
	writing       bool          // the writer holds frames that it took from pending
	writerStalled bool          // a sender has waited for room in vain since the writer last took frames
	capacityFreed chan struct{} // closed when the writer takes frames; nil while no sender waits for it
	closing       bool          // set by close: write what is pending, then end
	cause         error         // why the link ended; nil while it stands
	pingTimer     *time.Timer
	wake          chan struct{} // tells the writer of pending frames, holds one
}

// newLink starts the writer of a connection whose handshake is done.
func newLink(connection net.Conn, in *bufio.Reader, options *Options, peer hello) *link {
	l := &link{
		connection: connection,
		options:    options,
		remote:     peer.identity,
		heartbeat:  agreedHeartbeat(options.Heartbeat, peer.heartbeat),
		decoder:    newDecoder(),
		encoder:    newEncoder(),
		done:       make(chan struct{}),
		wake:       make(chan struct{}, 1),
		lastSend:   time.Now(),
	}
	l.reader = frameReader{in: in, limit: options.MaxFrame}
	go l.writeLoop()
	if l.heartbeat > 0 {
		l.mutex.Lock()
		l.pingTimer = time.AfterFunc(l.heartbeat, l.ping)
		l.mutex.Unlock()
	}
	return l
}

// send queues a message and returns the number of its frame.
func (l *link) send(kind frameKind, call uint32, message any) (uint64, error) {
	number, err := l.trySend(kind, call, message)
	if errors.Is(err, ErrQueueFull) && l.awaitCapacity() {
		number, err = l.trySend(kind, call, message)
	}
	return number, err
}

// awaitRoom gives the writer a short while to take what is pending: on one processor it may just not have had its
// turn. It returns false if it didn't, and from then on at once until it has.
func (l *link) awaitCapacity() bool {
	l.mutex.Lock()
	if l.writerStalled || l.cause != nil {
		l.mutex.Unlock()
		return false
	}
	if l.capacityFreed == nil {
		l.capacityFreed = make(chan struct{})
	}
	room := l.capacityFreed
	l.mutex.Unlock()
	timer := time.NewTimer(capacityWait)
	defer timer.Stop()
	select {
	case <-room:
		return true
	case <-l.done:
		return false
	case <-timer.C:
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writerStalled = l.capacityFreed == room
	return !l.writerStalled
}

// trySend queues a message if there is room.
func (l *link) trySend(kind frameKind, call uint32, message any) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cause != nil {
		return 0, notConnectedError(l.cause)
	}
	if l.closing {
		return 0, notConnectedError(ErrClosed)
	}
	if l.isFull(kind) {
		return 0, ErrQueueFull
	}
	if err := l.encodeFrame(kind, call, message); err != nil {
		return 0, err
	}
	l.pendingFrames++
	l.queued++
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return l.queued, nil
}

// isFull tells whether there is no room for a frame. Replies have room of their own, because the requests at work are
// bounded already.
func (l *link) isFull(kind frameKind) bool {
	bytes := l.encoder.out.len()
	if kind == frameReply || kind == frameFailure {
		return l.pendingFrames >= 2*l.options.Queue || bytes > 2*l.options.MaxFrame
	}
	return l.pendingFrames >= l.options.Queue || bytes > l.options.MaxFrame
}

// encodeFrame appends a frame to the pending ones, or leaves them as they were. The caller holds the mutex.
func (l *link) encodeFrame(kind frameKind, call uint32, message any) error {
	if l.encoder.out == nil {
		l.encoder.out = getBuffer()
	}
	out := l.encoder.out
	start := len(out.data)
	if kind == framePing {
		appendHeader(out, kind, false, call)
		return nil
	}
	appendHeader(out, kind, l.encoder.resetPeer, call)
	err := l.encoder.encode(message)
	size := len(out.data) - start - frameHeaderSize
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrEncode, err)
	} else if size > l.options.MaxFrame {
		err = fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	if err != nil {
		out.data = out.data[:start]
		l.encoder.reset()
		return err
	}
	setLength(out.data[start:])
	return nil
}

// wasHanded tells whether any byte of a frame may have reached the network.
func (l *link) mayHaveBeenSent(number uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return number <= l.handedOff
}

// ping sends a ping if nothing else was sent for a heartbeat, and sets the timer anew.
func (l *link) ping() {
	l.mutex.Lock()
	if l.cause != nil {
		l.mutex.Unlock()
		return
	}
	idle := time.Since(l.lastSend)
	next := l.heartbeat - idle
	if next <= 0 {
		next = l.heartbeat
	}
	l.pingTimer.Reset(next)
	l.mutex.Unlock()
	if idle >= l.heartbeat {
		_, _ = l.send(framePing, 0, nil)
	}
}

// writeLoop writes pending frames, all that wait with one system call, until the link ends.
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
		l.mutex.Lock()
		if l.options.injected.handedOffAfterWrite {
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

// takePending returns all frames that wait, or nil, and marks them as handed to the network. It tells whether the
// link is to end after them.
func (l *link) dequeueAll() (*buffer, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cause != nil {
		return nil, true
	}
	batch := l.encoder.out
	l.encoder.out = nil
	l.pendingFrames = 0
	l.writing = batch.len() > 0
	l.writerStalled = false
	if l.capacityFreed != nil {
		close(l.capacityFreed)
		l.capacityFreed = nil
	}
	l.dequeued = l.queued
	if !l.options.injected.handedOffAfterWrite {
		l.handedOff = l.dequeued
	}
	l.lastSend = time.Now()
	return batch, l.closing
}

// write writes bytes with a deadline that progress renews.
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

// receive returns the next frame that isn't a ping, with its message.
func (l *link) receive() (frame, any, error) {
	for {
		received, err := l.reader.next()
		if err != nil {
			return frame{}, nil, classifyReadError(err)
		}
		if received.kind == framePing {
			continue
		}
		if received.reset {
			l.decoder.reset()
		}
		message, err := l.decoder.decode(received.payload.bytes())
		received.payload.release()
		if err != nil {
			return frame{}, nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return received, message, nil
	}
}

// close ends the link once all that is pending was written, without waiting for it.
func (l *link) close() {
	l.mutex.Lock()
	l.closing = true
	empty := l.encoder.out.len() == 0 && !l.writing
	l.mutex.Unlock()
	if empty {
		l.end(ErrClosed)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// end closes the connection. The first cause stays.
func (l *link) end(cause error) {
	l.mutex.Lock()
	if l.cause != nil {
		l.mutex.Unlock()
		return
	}
	l.cause = cause
	if l.pingTimer != nil {
		l.pingTimer.Stop()
	}
	l.encoder.out = nil
	l.mutex.Unlock()
	_ = l.connection.Close()
	close(l.done)
}

// endCause returns why the link ended.
func (l *link) endCause() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cause
}

// lateRead is how long a read is tried again after its time ran out: where this process itself stood still, the
// bytes may have come meanwhile.
const pauseGrace = 20 * time.Millisecond

// timedReader reads from a connection and bounds each wait for bytes.
type deadlineReader struct {
	connection net.Conn
	timeout    time.Duration // zero for none
}

// Read reads what has arrived.
func (r *deadlineReader) Read(buffer []byte) (int, error) {
	if r.timeout <= 0 {
		return r.connection.Read(buffer)
	}
	count, err := r.readWithin(buffer, r.timeout)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return r.readWithin(buffer, pauseGrace)
	}
	return count, err
}

// readWithin reads what has arrived or arrives in time.
func (r *deadlineReader) readWithin(buffer []byte, limit time.Duration) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}

// silence returns ErrSilent for a wait that ran out.
func classifyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrHeartbeatTimeout, err)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: connection ended within a frame", io.ErrUnexpectedEOF)
	}
	return err
}

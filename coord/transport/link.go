package transport

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// readBufferSize is the size in bytes of a connection's read buffer. It is small, since each connection has its
// own; long payloads bypass it.
const readBufferSize = 4 << 10

// link is one connection after its handshake. Both ends use it. It consists of a queue of encoded frames with
// its writer (send_queue.go, writer.go), a reader, and pings (heartbeat.go).
//
// One goroutine reads (receive) and one writes (writeLoop). Any goroutine may call send, close or end.
type link struct {
	connection net.Conn
	options    *Options
	remote     Identity
	heartbeat  time.Duration // agreed with the peer; zero for none
	reader     frameReader   // used only by the reading goroutine, like decoder
	decoder    *decoder
	done       chan struct{} // closed once the link has ended
	wake       chan struct{} // signals pending frames to the writer; its buffer of one keeps a signal

	// mutex guards all fields below. It is held while a message is encoded, so that frames are in the order of
	// the calls, but never during a write.
	mutex sync.Mutex
	// encoder's buffer holds the pending frames, which are queued and not yet taken by the writer.
	encoder       *encoder
	pendingFrames int
	// queued, dequeued and handedOff count the frames since the connection began that were queued, taken by the
	// writer, and possibly handed to the network. Frames are numbered from 1 in this order, so that a frame with
	// a number above handedOff has certainly not been sent. The certainty of calls depends on this.
	queued    uint64
	dequeued  uint64
	handedOff uint64
	lastSend  time.Time
	// writing is true while the writer holds frames that it hasn't written yet.
	writing bool
	// capacityFreed is closed when the writer next takes frames; nil while no sender waits for capacity.
	capacityFreed chan struct{}
	// writerStalled is set when a sender has waited for capacity without success, and reset when the writer
	// takes frames. While it is set, senders don't wait.
	writerStalled bool
	// closing is set by close: the pending frames are written, then the link ends.
	closing bool
	// cause is the error that ended the link, and doesn't change once set; nil while the connection is open.
	cause     error
	pingTimer *time.Timer
}

// newLink returns the link of a connection whose handshake has completed, and starts its writer and its pings.
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

// close ends the link once all pending frames have been written. It doesn't wait for that.
func (l *link) close() {
	l.mutex.Lock()
	l.closing = true
	empty := l.encoder.out.len() == 0 && !l.writing
	l.mutex.Unlock()
	if empty {
		l.end(ErrClosed)
		return
	}
	l.wakeWriter()
}

// end closes the connection at once. The cause of the first call is kept; later calls have no effect.
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

// endCause returns the error that ended the link, or nil if the link hasn't ended.
func (l *link) endCause() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cause
}

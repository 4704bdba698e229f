package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

const (
	// maxMissedHeartbeats is the number of heartbeats without a received byte after which a peer counts as dead.
	// With three, a ping may be up to two heartbeats late.
	maxMissedHeartbeats = 3
	// pauseGrace is how long a read is retried after its deadline. If this process itself was paused, the peer's
	// bytes may have arrived during the pause and wait in the socket.
	pauseGrace = 20 * time.Millisecond
)

// agreedHeartbeat returns the shorter of two heartbeats; zero means no heartbeat.
func agreedHeartbeat(a, b time.Duration) time.Duration {
	if a <= 0 {
		return b
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}

// ping sends a ping if nothing was sent for a heartbeat, and sets the timer for the next call.
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

// deadlineReader reads from a connection and bounds the wait of each read.
type deadlineReader struct {
	connection net.Conn
	timeout    time.Duration // zero for none
}

// Read implements io.Reader. If nothing arrives before the deadline, it retries for pauseGrace.
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

// readWithin reads once, with a deadline after the given timeout.
func (r *deadlineReader) readWithin(buffer []byte, timeout time.Duration) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}

// classifyReadError wraps a passed read deadline in ErrHeartbeatTimeout, and describes an unexpected EOF as a
// connection that ended within a frame. It returns other errors unchanged.
func classifyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrHeartbeatTimeout, err)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: connection ended within a frame", io.ErrUnexpectedEOF)
	}
	return err
}

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
	// maxMissedHeartbeats is the number of heartbeats without a byte after which a peer counts as dead. With
	// three, one ping may be late by two heartbeats.
	maxMissedHeartbeats = 3
	// pauseGrace is how long a read is tried again after its deadline: if this process itself was paused, the
	// peer's bytes may have arrived meanwhile and wait in the socket.
	pauseGrace = 20 * time.Millisecond
)

// agreedHeartbeat returns the shorter of two heartbeats, where zero is none.
func agreedHeartbeat(one, other time.Duration) time.Duration {
	if one <= 0 {
		return other
	}
	if other <= 0 {
		return one
	}
	return min(one, other)
}

// ping sends a ping if nothing else was sent for a heartbeat, and sets the timer for the next one.
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

// deadlineReader reads from a connection and bounds each wait for bytes.
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
func (r *deadlineReader) readWithin(buffer []byte, timeout time.Duration) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}

// classifyReadError returns ErrHeartbeatTimeout for a read whose deadline passed, and says where in the
// stream of frames the connection ended.
func classifyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrHeartbeatTimeout, err)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: connection ended within a frame", io.ErrUnexpectedEOF)
	}
	return err
}

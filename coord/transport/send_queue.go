package transport

import (
	"errors"
	"fmt"
	"time"
)

// capacityWait is how long a message waits for capacity in the queue. It only has to cover the time until the
// writer's goroutine is scheduled.
const capacityWait = 5 * time.Millisecond

// send queues a message, waiting up to capacityWait for capacity, and returns the number of its frame.
func (l *link) send(kind frameKind, call uint32, message any) (uint64, error) {
	number, err := l.trySend(kind, call, message)
	if errors.Is(err, ErrQueueFull) && l.awaitCapacity() {
		number, err = l.trySend(kind, call, message)
	}
	return number, err
}

// awaitCapacity waits up to capacityWait until the writer takes the pending frames, and reports whether it did.
// With few processors, the writer may not have been scheduled since a burst of messages. After a wait without
// success, awaitCapacity returns false without waiting until the writer takes frames again, because a peer that
// reads nothing must not slow down every sender.
func (l *link) awaitCapacity() bool {
	l.mutex.Lock()
	if l.writerStalled || l.cause != nil {
		l.mutex.Unlock()
		return false
	}
	if l.capacityFreed == nil {
		l.capacityFreed = make(chan struct{})
	}
	freed := l.capacityFreed
	l.mutex.Unlock()
	timer := time.NewTimer(capacityWait)
	defer timer.Stop()
	select {
	case <-freed:
		return true
	case <-l.done:
		return false
	case <-timer.C:
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writerStalled = l.capacityFreed == freed
	return !l.writerStalled
}

// trySend queues a message if there is capacity, and returns the number of its frame.
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
	l.wakeWriter()
	return l.queued, nil
}

// isFull reports whether there is no capacity for a frame. Replies may use twice the capacity of other frames,
// since the number of requests in flight is bounded already, and a reply that can't be sent ends the connection.
// The caller holds the mutex.
func (l *link) isFull(kind frameKind) bool {
	bytes := l.encoder.out.len()
	if kind == frameReply || kind == frameFailure {
		return l.pendingFrames >= 2*l.options.Queue || bytes > 2*l.options.MaxFrame
	}
	return l.pendingFrames >= l.options.Queue || bytes > l.options.MaxFrame
}

// encodeFrame appends a frame to the pending frames. After an error these are unchanged. The caller holds the
// mutex.
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
		// The encoder would rely on type descriptions that the peer won't receive, so that it must be reset.
		out.data = out.data[:start]
		l.encoder.reset()
		return err
	}
	setLength(out.data[start:])
	return nil
}

// wakeWriter signals to the writer that frames are pending or that the link is closing.
func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// mayHaveBeenSent reports whether any byte of the frame with this number may have been handed to the network.
func (l *link) mayHaveBeenSent(number uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return number <= l.handedOff
}

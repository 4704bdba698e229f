package transport

import (
	"errors"
	"fmt"
)

var (
	// ErrNotConnected reports that there was no connection, or that it ended before any byte of the message was
	// handed to the network. The message has not been handled and will not be.
	ErrNotConnected = errors.New("transport: not connected, nothing was sent")
	// ErrUncertain reports that the message was sent, or may still be, and no reply came: it may have been handled.
	ErrUncertain = errors.New("transport: sent without a reply, may have been handled")
	// ErrQueueFull reports that too many messages wait for the network. The message was not queued.
	ErrQueueFull = errors.New("transport: send queue is full")
	// ErrFrameTooLarge reports a message over Options.MaxFrame. Sent by a peer, it ends the connection.
	ErrFrameTooLarge = errors.New("transport: frame too large")
	// ErrEncode reports a message that can't be encoded, such as one of an unregistered type. It was not sent.
	ErrEncode = errors.New("transport: message cannot be encoded")
	// ErrCorrupt reports bytes that are no frame or no value of a registered type. It ends the connection.
	ErrCorrupt = errors.New("transport: corrupt frame")
	// ErrNotTransport reports a peer that doesn't speak this protocol.
	ErrUnknownProtocol = errors.New("transport: peer does not speak this protocol")
	// ErrVersion reports a peer that speaks another version of the protocol.
	ErrVersionMismatch = errors.New("transport: peer speaks another version")
	// ErrOtherSystem reports a peer that belongs to another system.
	ErrSystemMismatch = errors.New("transport: peer belongs to another system")
	// ErrRefused reports that Options.Admit, here or at the peer, refused the connection.
	ErrRejected = errors.New("transport: peer refused")
	// ErrSilent reports a peer that sent nothing for three heartbeats.
	ErrHeartbeatTimeout = errors.New("transport: peer is silent")
	// ErrStalled reports a peer that took no bytes for Options.WriteTimeout.
	ErrWriteTimeout = errors.New("transport: peer does not read")
	// ErrClosed reports a connection that this side closed.
	ErrClosed = errors.New("transport: closed")
)

// CodeBusy is the code of a RemoteError for a request that was not handed to the handler, because the session had
// too many requests at work.
const CodeBusy = "busy"

// RemoteError is the error that a handler returned for a request.
type RemoteError struct {
	// Code classifies the error for programs. It is empty unless the handler's error came from Coded.
	Code string
	// Text describes it for people.
	Text string
}

// Error describes the error.
func (e *RemoteError) Error() string {
	if e.Code == "" {
		return e.Text
	}
	return e.Code + ": " + e.Text
}

// Coded returns an error that reaches the caller of Client.Call as a RemoteError with this code and text.
func NewError(code, text string) error {
	return &RemoteError{Code: code, Text: text}
}

// CodeOf returns the code of a RemoteError within err, or an empty string.
func CodeOf(err error) string {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Code
	}
	return ""
}

// remoteErrorOf returns the form of a handler's error that is sent to the caller.
func toRemoteError(err error) RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return RemoteError{Code: remote.Code, Text: remote.Text}
	}
	return RemoteError{Text: err.Error()}
}

// uncertain returns an ErrUncertain that also wraps its cause.
func uncertainError(cause error) error {
	return fmt.Errorf("%w: %w", ErrUncertain, cause)
}

// notConnected returns an ErrNotConnected that also wraps its cause.
func notConnectedError(cause error) error {
	if cause == nil {
		return ErrNotConnected
	}
	return fmt.Errorf("%w: %w", ErrNotConnected, cause)
}

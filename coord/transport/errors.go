package transport

import (
	"errors"
	"fmt"
)

// Errors of messages. After every error except ErrUncertain it is known whether the message has been handled.
var (
	// ErrNotConnected reports that there was no connection, or that it ended before any byte of the message
	// was handed to the network. The message has not been handled and will not be.
	ErrNotConnected = errors.New("transport: not connected, nothing was sent")
	// ErrUncertain reports that the message was sent, or may still be sent, and no reply was received. It may
	// have been handled.
	ErrUncertain = errors.New("transport: sent without a reply, may have been handled")
	// ErrQueueFull reports that the send queue has no capacity. The message was not queued.
	ErrQueueFull = errors.New("transport: send queue is full")
	// ErrFrameTooLarge reports a message larger than Options.MaxFrame. If a peer sent it, the connection ends.
	ErrFrameTooLarge = errors.New("transport: frame too large")
	// ErrEncode reports a message that can't be encoded, such as one of an unregistered type. It was not
	// sent.
	ErrEncode = errors.New("transport: message cannot be encoded")
)

// Errors that end a connection or reject a peer. They are passed to Options.Log, and wrapped by the errors of
// messages that failed because the connection ended.
var (
	// ErrCorrupt reports bytes that aren't a valid frame, or aren't a value of a registered type.
	ErrCorrupt = errors.New("transport: corrupt frame")
	// ErrUnknownProtocol reports a peer that doesn't speak this protocol.
	ErrUnknownProtocol = errors.New("transport: peer does not speak this protocol")
	// ErrVersionMismatch reports a peer that speaks another version of the protocol.
	ErrVersionMismatch = errors.New("transport: peer speaks another version")
	// ErrSystemMismatch reports a peer whose Identity.System differs from this side's.
	ErrSystemMismatch = errors.New("transport: peer belongs to another system")
	// ErrRejected reports that Options.Admit, of this side or the peer's, rejected the connection.
	ErrRejected = errors.New("transport: connection rejected")
	// ErrHeartbeatTimeout reports a peer from which nothing was received for three heartbeats.
	ErrHeartbeatTimeout = errors.New("transport: nothing received for three heartbeats")
	// ErrWriteTimeout reports a write that made no progress for Options.WriteTimeout because the peer reads nothing.
	ErrWriteTimeout = errors.New("transport: peer does not read, write timed out")
	// ErrClosed reports a connection that this side closed.
	ErrClosed = errors.New("transport: closed")
)

// CodeBusy is the code of a RemoteError for a request that was not passed to the handler, because
// Options.Queue requests of the session were in flight.
const CodeBusy = "busy"

// RemoteError is the error that a handler returned for a request, as the caller receives it. It is sent as a
// message, so that its fields are part of the wire format.
type RemoteError struct {
	// Code classifies the error for programs. It is empty unless the handler's error wraps one from NewError.
	Code string
	// Text describes the error for people.
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	if e.Code == "" {
		return e.Text
	}
	return e.Code + ": " + e.Text
}

// NewError returns an error that a handler can return. The caller of Client.Call receives it as a RemoteError
// with this code and text.
func NewError(code, text string) error {
	return &RemoteError{Code: code, Text: text}
}

// CodeOf returns the code of the RemoteError that err wraps, or an empty string.
func CodeOf(err error) string {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Code
	}
	return ""
}

// toRemoteError converts a handler's error to the RemoteError that is sent to the caller.
func toRemoteError(err error) RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return RemoteError{Code: remote.Code, Text: remote.Text}
	}
	return RemoteError{Text: err.Error()}
}

// uncertainError returns an error that wraps ErrUncertain and its cause.
func uncertainError(cause error) error {
	return fmt.Errorf("%w: %w", ErrUncertain, cause)
}

// notConnectedError returns an error that wraps ErrNotConnected and its cause, if that isn't nil.
func notConnectedError(cause error) error {
	if cause == nil {
		return ErrNotConnected
	}
	return fmt.Errorf("%w: %w", ErrNotConnected, cause)
}

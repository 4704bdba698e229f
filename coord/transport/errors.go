package transport

import (
	"errors"
	"fmt"
)

// Errors of messages. ErrUncertain alone leaves open whether the message may have been handled.
var (
	// ErrNotConnected reports that there was no connection, or that it ended before any byte of the message
	// was handed to the network. The message has not been handled and will not be.
	ErrNotConnected = errors.New("transport: not connected, nothing was sent")
	// ErrUncertain reports that the message was sent, or may still be, and no reply came: it may have been
	// handled.
	ErrUncertain = errors.New("transport: sent without a reply, may have been handled")
	// ErrQueueFull reports that too many messages wait to be sent. The message was not queued.
	ErrQueueFull = errors.New("transport: send queue is full")
	// ErrFrameTooLarge reports a message over Options.MaxFrame. Sent by a peer, it ends the connection.
	ErrFrameTooLarge = errors.New("transport: frame too large")
	// ErrEncode reports a message that can't be encoded, such as one of an unregistered type. It was not
	// sent.
	ErrEncode = errors.New("transport: message cannot be encoded")
)

// Errors that end a connection, or reject a peer. They are passed to Options.Log, and wrapped by the errors
// of the messages that were lost with the connection.
var (
	// ErrCorrupt reports bytes that are no frame, or no value of a registered type.
	ErrCorrupt = errors.New("transport: corrupt frame")
	// ErrUnknownProtocol reports a peer that doesn't speak this protocol.
	ErrUnknownProtocol = errors.New("transport: peer does not speak this protocol")
	// ErrVersionMismatch reports a peer that speaks another version of the protocol.
	ErrVersionMismatch = errors.New("transport: peer speaks another version")
	// ErrSystemMismatch reports a peer whose Identity.System is another one.
	ErrSystemMismatch = errors.New("transport: peer belongs to another system")
	// ErrRejected reports that Options.Admit, of this side or the peer's, rejected the connection.
	ErrRejected = errors.New("transport: connection rejected")
	// ErrHeartbeatTimeout reports a peer from which nothing was received for three heartbeats.
	ErrHeartbeatTimeout = errors.New("transport: nothing received for three heartbeats")
	// ErrWriteTimeout reports a peer that took no bytes for Options.WriteTimeout.
	ErrWriteTimeout = errors.New("transport: peer does not read, write timed out")
	// ErrClosed reports a connection that this side closed.
	ErrClosed = errors.New("transport: closed")
)

// CodeBusy is the code of a RemoteError for a request that was not passed to the handler, because
// Options.Queue requests of the session were in flight.
const CodeBusy = "busy"

// RemoteError is the error that a handler returned for a request, as its caller gets it. It is a message
// itself: its fields are part of the wire format.
type RemoteError struct {
	// Code classifies the error for programs. It is empty unless the handler's error wraps one of NewError.
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

// NewError returns an error for handlers that reaches the caller of Client.Call as a RemoteError with this
// code and text.
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

// toRemoteError returns the form of a handler's error that is sent to the caller.
func toRemoteError(err error) RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return RemoteError{Code: remote.Code, Text: remote.Text}
	}
	return RemoteError{Text: err.Error()}
}

// uncertainError returns an ErrUncertain that also wraps its cause.
func uncertainError(cause error) error {
	return fmt.Errorf("%w: %w", ErrUncertain, cause)
}

// notConnectedError returns an ErrNotConnected that also wraps its cause, if there is one.
func notConnectedError(cause error) error {
	if cause == nil {
		return ErrNotConnected
	}
	return fmt.Errorf("%w: %w", ErrNotConnected, cause)
}

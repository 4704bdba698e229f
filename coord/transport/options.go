package transport

import (
	"context"
	"net"
	"time"
)

// Defaults of Options.
const (
	DefaultMaxFrame     = 8 << 20 // bytes
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultWriteTimeout = time.Second
	DefaultUserTimeout  = 1500 * time.Millisecond
	DefaultQueue        = 256 // messages
)

// Identity names one incarnation of one machine of one system. It is sent in the handshake, and not
// authenticated.
type Identity struct {
	// System is the name of the system. Peers of different systems reject each other.
	System string
	// Node is the machine's name.
	Node string
	// Role is the name of the program's role.
	Role string
	// Zone is the failure domain that the machine is in.
	Zone string
	// Address is the host:port at which the machine itself can be reached.
	Address string
	// Incarnation differs for each start of the process.
	Incarnation string
}

// Options configures a Client or a Server. Zero values take the defaults.
type Options struct {
	// Identity is sent to every peer. Peers whose Identity.System differs reject each other.
	Identity Identity

	// MaxFrame bounds one encoded message in bytes, in both directions. A larger message isn't sent
	// (ErrFrameTooLarge), and one received from a peer ends the connection, so that both sides need the same
	// value. It also bounds the memory of a connection: up to twice as many bytes wait to be sent, or three
	// times as many with replies, in addition to those that are being written. Default 8 MiB.
	MaxFrame int

	// Queue bounds the messages that wait to be sent on one connection, and the requests of one session that
	// are in their handlers at once. A message beyond it is rejected (ErrQueueFull, CodeBusy) instead of
	// waiting, so that a slow peer costs its senders no memory and no time. A larger value accepts larger
	// bursts. Default 256 messages.
	Queue int

	// Dial opens a connection to an address. Nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// DialTimeout bounds the opening of a connection. After a time-out a client waits for its backoff and dials
	// again, so that a long time-out delays the first connection to a machine that has restarted. Default
	// 500 ms.
	DialTimeout time.Duration

	// WriteTimeout bounds a write without progress. A peer that reads nothing for that time is disconnected
	// (ErrWriteTimeout). It also bounds how long a closed connection writes pending messages. Default 1 s.
	WriteTimeout time.Duration

	// UserTimeout is TCP_USER_TIMEOUT (RFC 5482): how long sent data may go without acknowledgement before
	// the kernel ends the connection. By default the kernel would retransmit for some 15 minutes. A short
	// time-out detects a dead machine soon, but also mistakes a short partition for one. Default 1.5 s.
	UserTimeout time.Duration

	// Heartbeat is the longest time without sending anything, after which a ping is sent. A connection on which
	// nothing was received for three heartbeats ends (ErrHeartbeatTimeout). Both sides use the shorter of their
	// two heartbeats. Zero takes the peer's heartbeat; if both are zero, a connection never ends because nothing
	// is received. In whole milliseconds, at most one hour; default zero.
	Heartbeat time.Duration

	// Admit, if set, rejects a peer by returning an error. It runs in the handshake, after the peer's system
	// has been checked.
	Admit func(Identity) error

	// Log, if set, receives the events of connections: the event, its error or nil, and the peer's address
	// or node. A client's events are connected and connection_ended; a server's are accept_failed,
	// handshake_rejected, session_opened, session_ended and one_way_message_failed (a handler's error). It
	// must not block.
	Log func(event string, err error, remote string)

	injected injectedBugs // set by tests only
}

// withDefaults returns the options with zero values replaced by their defaults.
func (o Options) withDefaults() Options {
	if o.MaxFrame <= 0 {
		o.MaxFrame = DefaultMaxFrame
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.UserTimeout <= 0 {
		o.UserTimeout = DefaultUserTimeout
	}
	if o.Queue <= 0 {
		o.Queue = DefaultQueue
	}
	if o.Log == nil {
		o.Log = func(string, error, string) {}
	}
	return o
}

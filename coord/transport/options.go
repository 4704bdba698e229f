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

const (
	handshakeTimeout = time.Second
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
	// silentHeartbeats is the number of heartbeats without a byte after which a peer counts as dead.
	maxMissedHeartbeats = 3
)

// Identity names one life of one machine of one system.
type Identity struct {
	// System tells systems apart: peers with different ones refuse each other.
	System string
	// Node is the machine's name.
	Node string
	// Role is the name of the program's role.
	Role string
	// Zone is where the machine stands.
	Zone string
	// Address is where the machine itself is reached, host:port.
	Address string
	// Incarnation differs for each start of the process.
	Incarnation string
}

// Options adjusts a Client or a Server. Zero values take the defaults.
type Options struct {
	// Identity is sent to every peer.
	Identity Identity
	// MaxFrame bounds one message in bytes, in both directions.
	MaxFrame int
	// Dial opens a connection to an address. Nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// WriteTimeout bounds a write without progress.
	WriteTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long sent data may go without acknowledgement.
	UserTimeout time.Duration
	// Heartbeat is the longest time without sending anything. Zero takes that of the peer; where neither side names
	// one, silence ends no connection.
	Heartbeat time.Duration
	// Queue bounds the messages that wait for the network on one connection, and the requests of one session that
	// are at work.
	Queue int
	// Admit refuses a peer by an error. It runs after the check of the system.
	Admit func(Identity) error
	// Log receives what happens to connections. It must not block.
	Log func(event string, err error, remote string)

	injected injectedBugs // of tests
}

// withDefaults returns the options with all limits set.
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

// dialPlain opens a TCP connection. Its probes are set once it stands.
func dialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

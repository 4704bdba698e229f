package serverclient

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may remain unacknowledged before the kernel closes the connection.
	// So a connection that only waits for its server also soon fails when the server's machine is gone.
	unackedTimeout = 2 * time.Second
)

// optionTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall doesn't define.
const optionTCPUserTimeout = 18

// dialTCP dials a server's address. Simulations replace it.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// setUserTimeout sets unackedTimeout on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		milliseconds := int(unackedTimeout.Milliseconds())
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, milliseconds)
	})
	return errors.Join(err, optionErr)
}

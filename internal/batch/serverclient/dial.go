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
	// unackedTimeout is how long sent bytes may go without acknowledgement until the kernel gives the
	// connection up: also one that only waits for its server notices soon that the machine is gone.
	unackedTimeout = 2 * time.Second
)

// optionTCPUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const optionTCPUserTimeout = 18

// dialTCP is the Client's dial, except in simulations.
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

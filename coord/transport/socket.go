package transport

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// TCP keep-alive probes end an idle connection to a dead machine after two to three seconds, even if the peers
// use no heartbeat. The number of probes takes effect only where TCP_USER_TIMEOUT doesn't end the connection
// earlier (tcp(7)).
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// dialDirect opens a TCP connection without keep-alive, which setSocketOptions configures in the handshake.
func dialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// setSocketOptions sets TCP_NODELAY (the writer batches frames already), short keep-alive probes and
// TCP_USER_TIMEOUT. It does nothing for connections that aren't TCP, such as those of tests.
func setSocketOptions(connection net.Conn, userTimeout time.Duration) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetNoDelay(true); err != nil {
		return err
	}
	probes := net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveProbes,
	}
	if err := tcp.SetKeepAliveConfig(probes); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	control := func(descriptor uintptr) {
		timeout := int(userTimeout.Milliseconds())
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	}
	if err := raw.Control(control); err != nil {
		return err
	}
	return failure
}

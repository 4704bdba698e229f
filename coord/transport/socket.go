package transport

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// tuneSocket sets TCP_NODELAY, short keep-alive probes and TCP_USER_TIMEOUT.
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

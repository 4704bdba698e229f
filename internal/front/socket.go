package front

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// SetReusePort sets SO_REUSEPORT, so that another process of the same user may listen on the same address.
// It is the Control function of a net.ListenConfig.
func SetReusePort(_, _ string, raw syscall.RawConn) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optErr
}

// peek tests for unread input without reading it. It returns 1 if there is any, 0 and no error at end of file, and
// EAGAIN if there is neither.
func peek(raw syscall.Conn) (n int, err error) {
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlled := rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(controlled, err)
}

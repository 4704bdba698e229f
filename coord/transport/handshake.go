package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// handshakeTimeout bounds the exchange of hellos.
const handshakeTimeout = time.Second

// handshake sends the client's hello, then reads the server's hello and returns it. It ends early when the client
// is closed.
func (c *Client) handshake(connection net.Conn, in *bufio.Reader) (hello, error) {
	stop := context.AfterFunc(c.ctx, func() { _ = connection.Close() })
	defer stop()
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, err
	}
	if err := setSocketOptions(connection, c.options.UserTimeout); err != nil {
		return hello{}, err
	}
	own := hello{heartbeat: c.options.Heartbeat, identity: c.options.Identity}
	if err := own.write(connection); err != nil {
		return hello{}, err
	}
	peer, err := readHello(in)
	if err != nil {
		return hello{}, err
	}
	if err := helloError(peer.status); err != nil {
		return hello{}, err
	}
	if _, err := c.options.checkPeer(peer.identity); err != nil {
		return hello{}, err
	}
	return peer, connection.SetDeadline(time.Time{})
}

// handshake reads the client's hello, sends the server's and returns the client's. If the client is rejected, the
// status of the server's hello gives the reason.
func (s *Server) handshake(connection net.Conn, in *bufio.Reader) (hello, error) {
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, err
	}
	if err := setSocketOptions(connection, s.options.UserTimeout); err != nil {
		return hello{}, err
	}
	own := hello{heartbeat: s.options.Heartbeat, identity: s.options.Identity}
	peer, err := readHello(in)
	if errors.Is(err, ErrVersionMismatch) {
		own.status = helloRejected
		_ = own.write(connection)
	}
	if err != nil {
		return hello{}, err
	}
	status, rejection := s.options.checkPeer(peer.identity)
	own.status = status
	if err := own.write(connection); err != nil {
		return hello{}, err
	}
	if rejection != nil {
		return hello{}, rejection
	}
	return peer, connection.SetDeadline(time.Time{})
}

// checkPeer checks a peer's system and calls Options.Admit. It returns the status to send to the peer, and an
// error for this side if the peer is rejected.
func (o *Options) checkPeer(peer Identity) (helloStatus, error) {
	if peer.System != o.Identity.System {
		return helloOtherSystem, fmt.Errorf("%w: %q", ErrSystemMismatch, peer.System)
	}
	if o.Admit == nil {
		return helloAccepted, nil
	}
	if err := o.Admit(peer); err != nil {
		return helloRejected, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return helloAccepted, nil
}

// helloError returns the error for the status in a peer's hello, or nil if the peer accepts the connection.
func helloError(status helloStatus) error {
	switch status {
	case helloAccepted:
		return nil
	case helloOtherSystem:
		return ErrSystemMismatch
	default:
		return fmt.Errorf("%w by the peer", ErrRejected)
	}
}

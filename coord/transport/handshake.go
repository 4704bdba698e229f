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

// handshake sends the client's hello first, and reads the server's. It ends early when the client is closed.
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

// handshake reads the client's hello and answers it, also if the client is rejected: the answer says why.
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

// checkPeer decides whether to accept a peer, by its system and by Options.Admit. It returns the status that
// is sent to the peer, and the error for this side if the peer is rejected.
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

// helloError returns the error for the status in the hello of a peer, nil if the peer accepts the connection.
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

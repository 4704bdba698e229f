// Package peer sends and receives datagrams between the gateways of a fleet. A gateway has one UDP socket, and
// exchanges datagrams only with the listed peers. The content of datagrams is defined by other packages, mainly by
// package policy.
//
// Datagrams may be lost, duplicated and reordered. They are not encrypted, and authenticated only by their source
// address, so the peers' network must be trusted.
package peer

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// MaxMessage is the maximum length of a message that the platform permits, in bytes.
const MaxMessage = 256

// writeTimeout bounds a write. A datagram that the kernel doesn't accept within this time is dropped.
const writeTimeout = 50 * time.Millisecond

// Link is a gateway's socket to its peers. It is safe for concurrent use.
type Link struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // indexed by the peers' numbers
	broadcast netip.AddrPort   // address that reaches all peers; zero value: none
	peerIndex map[netip.AddrPort]int

	received, invalid, dropped, sent atomic.Uint64

	mu       sync.Mutex // guards the fields below
	isPaused bool
	resumed  chan struct{} // closed at the end of the most recent pause; nil before the first
}

// Stats counts datagrams.
type Stats struct {
	Received uint64 // from peers
	Invalid  uint64 // too long, or not from a peer's address
	Sent     uint64
	Dropped  uint64 // not sent: too long, to an unknown peer, or the write failed
}

// Stats returns the counts so far.
func (l *Link) Stats() Stats {
	return Stats{Received: l.received.Load(), Invalid: l.invalid.Load(), Sent: l.sent.Load(), Dropped: l.dropped.Load()}
}

// Listen opens a socket at addr. peers are the peers' addresses in the order of their numbers. broadcast is an address
// that reaches all of them; its zero value means that there is none.
func Listen(addr netip.AddrPort, peers []netip.AddrPort, broadcast netip.AddrPort) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return NewLink(conn, peers, broadcast), nil
}

// NewLink is like Listen but uses an open socket.
func NewLink(conn *net.UDPConn, peers []netip.AddrPort, broadcast netip.AddrPort) *Link {
	l := &Link{conn: conn, peers: peers, broadcast: broadcast, peerIndex: map[netip.AddrPort]int{}}
	for i, p := range peers {
		l.peerIndex[p] = i
	}
	return l
}

// File returns a duplicate of the socket's file, for a process that takes the socket over.
func (l *Link) File() (*os.File, error) { return l.conn.File() }

// Addr returns the local address.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Pause stops sending and receiving until Resume, while another process uses the gateway's socket. That process
// receives the datagrams that arrive in the meantime.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isPaused {
		l.isPaused, l.resumed = true, make(chan struct{})
		l.conn.SetReadDeadline(time.Now()) // interrupts Serve
	}
}

// Resume ends a pause. It does nothing if the link is not paused.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isPaused {
		l.isPaused = false
		l.conn.SetReadDeadline(time.Time{})
		close(l.resumed)
	}
}

// paused reports whether the link is paused, and returns a channel that is closed when the link is resumed.
func (l *Link) paused() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isPaused, l.resumed
}

// Send sends a message to a peer, or to all peers if peer is negative. It returns no error, because users of datagrams
// must tolerate their loss.
func (l *Link) Send(peer int, message []byte) {
	if len(message) > MaxMessage || peer >= len(l.peers) {
		l.dropped.Add(1)
		slog.Error("peer_message_dropped", "peer", peer, "bytes", len(message))
		return
	}
	to := l.broadcast
	if peer >= 0 {
		to = l.peers[peer]
	}
	if paused, _ := l.paused(); to.IsValid() && !paused {
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.WriteToUDPAddrPort(message, to); err != nil {
			l.dropped.Add(1)
		} else {
			l.sent.Add(1)
		}
	}
}

// Serve calls receive with the peer's number for each message from a listed peer, until Close. receive must not retain
// the message.
func (l *Link) Serve(receive func(from int, message []byte)) {
	buf := make([]byte, MaxMessage+1) // one byte more than the maximum, to detect longer messages
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if paused, resumed := l.paused(); paused && errors.Is(err, os.ErrDeadlineExceeded) {
			<-resumed
			continue
		}
		if err != nil { // such as an ICMP error for a datagram that was sent
			continue
		}
		if i, ok := l.peerIndex[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]; ok && n <= MaxMessage {
			l.received.Add(1)
			receive(i, buf[:n])
		} else {
			l.invalid.Add(1)
		}
	}
}

// Close closes the socket and ends Serve, also during a pause.
func (l *Link) Close() error {
	l.Resume()
	return l.conn.Close()
}

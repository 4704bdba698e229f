// Package peer owns the datagrams between gateways: one UDP socket on the peer address, to and from the listed
// peers alone. It must never read or change what a message says: that is the module's.
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

// MaxMessage is the longest datagram allowed, in bytes.
const MaxMessage = 256

// writeWait bounds a write: a datagram that the kernel won't take at once is as good as lost.
const writeTimeout = 50 * time.Millisecond

// Link is the gateway's way to its peers.
type Link struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort
	broadcast netip.AddrPort
	peerIndex map[netip.AddrPort]int

	received, invalid, dropped, sent atomic.Uint64

	mu       sync.Mutex
	isPaused bool
	resumed  chan struct{} // closed when the link goes on
}

// Counts is what came and went: odd were too long or of strangers, dropped were not sent.
type Stats struct{ Received, Invalid, Sent, Dropped uint64 }

// Counts gives the counts so far.
func (l *Link) Stats() Stats {
	return Stats{l.received.Load(), l.invalid.Load(), l.sent.Load(), l.dropped.Load()}
}

// Listen opens the socket. The peers are ordered by their numbers; all reaches every one of them, where valid.
func Listen(addr netip.AddrPort, peers []netip.AddrPort, all netip.AddrPort) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return NewLink(conn, peers, all), nil
}

// On gives a link on a socket that is open.
func NewLink(conn *net.UDPConn, peers []netip.AddrPort, all netip.AddrPort) *Link {
	l := &Link{conn: conn, peers: peers, broadcast: all, peerIndex: map[netip.AddrPort]int{}}
	for i, p := range peers {
		l.peerIndex[p] = i
	}
	return l
}

// File gives the socket as a file of its own.
func (l *Link) File() (*os.File, error) { return l.conn.File() }

// Pause neither hears nor tells anything, until Resume: another process has the gateway's words.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isPaused {
		l.isPaused, l.resumed = true, make(chan struct{})
		l.conn.SetReadDeadline(time.Now())
	}
}

// Resume hears and tells again.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isPaused {
		l.isPaused = false
		l.conn.SetReadDeadline(time.Time{})
		close(l.resumed)
	}
}

// paused tells whether the link is paused, and gives what is closed when it goes on.
func (l *Link) paused() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isPaused, l.resumed
}

// Addr is where the link listens.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Tell sends a message to one peer, or to all where peer is below 0. It may be lost, as any datagram.
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
	if still, _ := l.paused(); to.IsValid() && !still {
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.WriteToUDPAddrPort(message, to); err != nil { // a loss the module allows for
			l.dropped.Add(1)
		} else {
			l.sent.Add(1)
		}
	}
}

// Serve hands in what listed peers send, until Close. A datagram that is too long is not theirs.
func (l *Link) Serve(take func(from int, message []byte)) {
	buf := make([]byte, MaxMessage+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if still, woken := l.paused(); still && errors.Is(err, os.ErrDeadlineExceeded) {
			<-woken
			continue
		}
		if err != nil { // an earlier datagram was refused where it went
			continue
		}
		if i, ok := l.peerIndex[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]; ok && n <= MaxMessage {
			l.received.Add(1)
			take(i, buf[:n])
		} else {
			l.invalid.Add(1)
		}
	}
}

// Close ends Serve.
func (l *Link) Close() error {
	l.Resume()
	return l.conn.Close()
}

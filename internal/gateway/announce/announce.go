// Package announce tells other gateways, by datagram, of long prompts that have been sent to a server, so that they send nothing
// behind them. What is lost is lost: each gateway can do without. A datagram is a tag, the hash of the server's id and the tokens
// to be read there, in fixed places: too little to be worth a gob stream, which would describe its types in each datagram.
package announce

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"

	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	tag  = uint32(0x53504131) // "SPA1"
	size = 4 + 8 + 4          // bytes
	// fanOut bounds the gateways that are told: what one sends must not grow with their number.
	fanOut = 16
	// mostTokens bounds what is believed.
	mostTokens = 1 << 20
)

// Announcer sends and receives. It is safe for concurrent use.
type Announcer struct {
	conn    *net.UDPConn
	self    string
	port    int
	members func() *protocol.MemberList
}

// Listen opens the port.
func Listen(ip string, port int, members func() *protocol.MemberList) (*Announcer, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, err
	}
	return &Announcer{conn: conn, self: ip, port: port, members: members}, nil
}

// Tell tells other gateways that a server has so many tokens more to read.
func (a *Announcer) Tell(server uint64, tokens int) {
	members := a.members()
	if members == nil {
		return
	}
	var datagram [size]byte
	binary.BigEndian.PutUint32(datagram[:], tag)
	binary.BigEndian.PutUint64(datagram[4:], server)
	binary.BigEndian.PutUint32(datagram[12:], uint32(min(max(tokens, 0), mostTokens)))
	first := 0
	if len(members.Gateways) > fanOut {
		first = rand.IntN(len(members.Gateways))
	}
	for i := range min(fanOut, len(members.Gateways)) {
		gateway := &members.Gateways[(first+i)%len(members.Gateways)]
		address, err := netip.ParseAddr(gateway.IP)
		if gateway.IP == a.self || err != nil {
			continue
		}
		a.conn.WriteToUDPAddrPort(datagram[:], netip.AddrPortFrom(address, uint16(a.port)))
	}
}

// Receive hands in what other gateways tell, until Close.
func (a *Announcer) Receive(told func(server uint64, tokens int)) {
	var datagram [2 * size]byte
	for {
		n, _, err := a.conn.ReadFromUDPAddrPort(datagram[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n != size || binary.BigEndian.Uint32(datagram[:]) != tag {
			continue
		}
		told(binary.BigEndian.Uint64(datagram[4:]), int(min(binary.BigEndian.Uint32(datagram[12:]), mostTokens)))
	}
}

// Close ends it.
func (a *Announcer) Close() { a.conn.Close() }

package faults

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// This file owns the links between gateways: a relay for each ordered pair, on loopback. A gateway finds each peer at an address
// that only it is told, and hears the peer from that address, so that its own check of senders holds. What a link does to a
// datagram is its Way. It must never change a datagram otherwise than its way says, nor keep one for longer.

// mostDelayed bounds the datagrams of a link that are under way at once; more are lost.
const mostDelayed = 1024

// mostDatagram is more than any gateway may send.
const mostDatagram = 2048

// Way is what a link does to datagrams. The zero value passes all on at once.
type Way struct {
	Lost      float64       // share that goes lost; 1: the link is cut
	Delay     time.Duration // of each
	Jitter    time.Duration // more, by chance: what comes later may overtake
	Duplicate float64       // share that comes twice
	Corrupt   float64       // share of which a byte is changed
}

// and gives what two ways do one after the other.
func (w Way) and(o Way) Way {
	either := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	return Way{either(w.Lost, o.Lost), w.Delay + o.Delay, w.Jitter + o.Jitter, either(w.Duplicate, o.Duplicate), either(w.Corrupt, o.Corrupt)}
}

// Mesh is the relays of some gateways.
type Mesh struct {
	real  []netip.AddrPort
	links [][]*link // from, to
	way   func(from, to int) Way
	sent  func()
	all   sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
}

type link struct {
	conn    *net.UDPConn // where the one finds the other, and hears it from
	delayed atomic.Int64
}

// NewMesh opens relays on a host between gateways that listen at real addresses. The way is asked for with every datagram; sent
// is told of each that a gateway has sent.
func NewMesh(host string, addresses []string, seed uint64, way func(from, to int) Way, sent func()) (*Mesh, error) {
	m := &Mesh{way: way, sent: sent, rng: rand.New(rand.NewPCG(seed, 8))}
	for _, r := range addresses {
		addr, err := netip.ParseAddrPort(r)
		if err != nil {
			return nil, fmt.Errorf("mesh: %w", err)
		}
		m.real = append(m.real, addr)
	}
	m.links = make([][]*link, len(addresses))
	for a := range addresses {
		m.links[a] = make([]*link, len(addresses))
		for b := range addresses {
			if a == b {
				continue
			}
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
			if err != nil {
				m.Close()
				return nil, fmt.Errorf("mesh: %w", err)
			}
			m.links[a][b] = &link{conn: conn}
		}
	}
	for a := range addresses {
		for b := range addresses {
			if a != b {
				m.all.Go(func() { m.relay(a, b) })
			}
		}
	}
	return m, nil
}

// Peers are the addresses at which a gateway finds the others, and its own, by number.
func (m *Mesh) Peers(gateway int) (list []string) {
	for b, l := range m.links[gateway] {
		if b == gateway {
			list = append(list, m.real[b].String())
		} else {
			list = append(list, l.conn.LocalAddr().String())
		}
	}
	return list
}

// relay passes on what one gateway sends another.
func (m *Mesh) relay(from, to int) {
	in, out := m.links[from][to], m.links[to][from]
	buf := make([]byte, mostDatagram)
	for {
		n, sender, err := in.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue // the gateway on the other side is down
		}
		if netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()) != m.real[from] {
			continue // what comes back as it could not be delivered, or a stranger
		}
		m.sent()
		way := m.way(from, to)
		m.mu.Lock()
		lost, twice, spoilt := m.rng.Float64() < way.Lost, m.rng.Float64() < way.Duplicate, m.rng.Float64() < way.Corrupt
		at, late := m.rng.IntN(max(1, n)), way.Delay+time.Duration(m.rng.Float64()*float64(way.Jitter))
		m.mu.Unlock()
		if lost {
			continue
		}
		message := append([]byte(nil), buf[:n]...)
		if spoilt && n > 0 {
			message[at] ^= 1 << (at % 8)
		}
		copies := 1
		if twice {
			copies = 2
		}
		for range copies {
			if late <= 0 {
				out.conn.WriteToUDPAddrPort(message, m.real[to])
			} else if in.delayed.Add(1) > mostDelayed {
				in.delayed.Add(-1)
			} else {
				time.AfterFunc(late, func() {
					in.delayed.Add(-1)
					out.conn.WriteToUDPAddrPort(message, m.real[to])
				})
			}
		}
	}
}

// Close ends all links. What is under way is lost.
func (m *Mesh) Close() {
	for _, row := range m.links {
		for _, l := range row {
			if l != nil {
				l.conn.Close()
			}
		}
	}
	m.all.Wait()
}

package serverload

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// shareEvery is the time between datagrams to the same process.
	shareEvery = 50 * time.Millisecond
	// homesMost is how many gateways of a zone gather what its processes hear: one more than may be down unnoticed.
	homesMost = 2
)

// Sharing passes loads on. Each process tells the homes of its zone, two gateways that all find alike, what servers told it; a home tells
// the processes of its zone all that it knows, and homes of other zones what was told in its own. What is lost is lost: the next
// datagram follows soon, and each process can do without. What one sends and hears doesn't grow with the number of gateways but for
// the homes, whose subscribers are the processes of a zone, and a datagram's reports are bounded.
type Sharing struct {
	board   *Board
	conn    *net.UDPConn
	self    protocol.Process
	port    uint16
	members func() *protocol.MemberList

	source      uint32 // tells this process apart
	targets     atomic.Pointer[targets]
	version     uint64 // of the members that the targets are made of
	sent        time.Time
	relay       chan reading // to be passed on by this home
	waiting     func() int64 // tokens that wait here, of a batch process; nil elsewhere
	toldWaiting bool         // something waited as it was told last
	buffer      []byte
	readings    []byte
	backlogs    []byte
}

// targets are the processes that one sends to. Nobody changes them.
type targets struct {
	homes      []netip.AddrPort   // of the own zone, without this process
	everywhere [][]netip.AddrPort // homes of each zone
	zone       []netip.AddrPort   // this process is a home: the processes of its zone
	gateways   []netip.AddrPort   // ... those of them that are gateways
	abroad     []netip.AddrPort   // this process is a home: homes of other zones
}

// Listen opens the port that all processes use for it.
func Listen(board *Board, self protocol.Process, port int, members func() *protocol.MemberList) (*Sharing, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(self.IP), Port: port})
	if err != nil {
		return nil, err
	}
	return &Sharing{board: board, conn: conn, self: self, port: uint16(port), members: members,
		source: uint32(xxhash.Sum64String(self.Node + "/" + self.Incarnation)), relay: make(chan reading, mostQueued),
		buffer: make([]byte, 0, datagramBytes), readings: make([]byte, 0, readingsBytes)}, nil
}

// Waiting has this process, a batch process, tell what waits here. It is called before Run.
func (s *Sharing) Waiting(tokens func() int64) { s.waiting = tokens }

// Run sends and receives until the context ends.
func (s *Sharing) Run(ctx context.Context) {
	defer s.conn.Close()
	go s.receive()
	ticker := time.NewTicker(shareEvery)
	defer ticker.Stop()
	var gathered []reading
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.share(time.Now())
		case one := <-s.relay:
			if gathered = append(gathered, one); len(gathered) == 1 {
				due = time.After(relayAfter)
			}
		case <-due:
			if known := s.targets.Load(); known != nil {
				s.passOn(gathered, known.zone)
			}
			gathered, due = gathered[:0], nil
		}
	}
}

func (s *Sharing) receive() {
	var datagram [max(datagramBytes, readingsBytes, backlogsBytes) + 1]byte
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(datagram[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if of, list, ok := decodeBacklogs(datagram[:n]); ok {
			s.board.takeBacklogs(time.Now(), of, list)
			continue
		}
		if of, readings, ok := decodeReadings(datagram[:n]); ok {
			s.takeReadings(time.Now(), of, readings)
			continue
		}
		s.board.take(time.Now(), datagram[:n])
	}
}

// take takes a datagram in.
func (b *Board) take(now time.Time, datagram []byte) {
	of, reports, ok := decode(datagram)
	if !ok {
		b.invalid.Add(1)
		return
	}
	for _, one := range reports {
		if one.Load.Slots > 0 {
			b.learn(one.Server, entry{load: one.Load, at: now.Add(-one.Age), heard: now, foreign: of == kindForeign})
		}
	}
	b.takeResults(now, of, reports)
}

// takeResults takes in how requests ended: of a process of this zone, or all of the zone by a home's count.
func (b *Board) takeResults(now time.Time, of kind, reports []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range reports {
		switch {
		case one.Results == Results{}:
		case of == kindHeard:
			b.results.sum(now, one.Server, one.Results)
		case of == kindZone:
			b.results.verdicts[one.Server] = fading{Results: one.Results, at: now}
		}
	}
}

// share sends what has been heard since the last time.
func (s *Sharing) share(now time.Time) {
	s.update()
	known := s.targets.Load()
	if known == nil {
		return
	}
	s.shareBacklogs(now, known)
	since := s.sent
	s.sent = now
	heard := s.board.since(now, since, func(e entry) bool { return e.own })
	s.send(kindHeard, attach(heard, s.board.takeFresh()), known.homes)
	if len(known.zone) == 0 && len(known.abroad) == 0 {
		return
	}
	all := s.board.since(now, since, func(entry) bool { return true })
	s.send(kindZone, attach(all, s.board.summed(now)), known.zone)
	s.send(kindForeign, s.board.since(now, since, func(e entry) bool { return !e.foreign }), known.abroad)
}

func (s *Sharing) send(of kind, reports []Report, to []netip.AddrPort) {
	if len(reports) == 0 || len(to) == 0 {
		return
	}
	s.buffer = encode(s.buffer, of, reports)
	for _, address := range to {
		_, _ = s.conn.WriteToUDPAddrPort(s.buffer, address)
	}
}

// update finds out whom to send to, where the members have changed.
func (s *Sharing) update() {
	members := s.members()
	if members == nil || s.targets.Load() != nil && members.Version == s.version {
		return
	}
	s.version = members.Version
	homes := homesByZone(members.Gateways)
	next := &targets{}
	isHome := slices.ContainsFunc(homes[s.self.Zone], func(home protocol.Process) bool { return home.Node == s.self.Node })
	for _, zone := range slices.Sorted(maps.Keys(homes)) {
		var of []netip.AddrPort
		for _, home := range homes[zone] {
			of = s.append(of, home.IP)
			switch {
			case zone != s.self.Zone && isHome:
				next.abroad = s.append(next.abroad, home.IP)
			case zone == s.self.Zone && home.Node != s.self.Node:
				next.homes = s.append(next.homes, home.IP)
			}
		}
		if len(of) > 0 {
			next.everywhere = append(next.everywhere, of)
		}
	}
	if isHome {
		next.gateways, next.zone = s.inZone(members)
	}
	s.targets.Store(next)
}

// inZone lists the gateways of this zone without this one, and all processes.
func (s *Sharing) inZone(members *protocol.MemberList) (gateways, all []netip.AddrPort) {
	for i := range members.Gateways {
		if one := &members.Gateways[i]; one.Zone == s.self.Zone && one.Node != s.self.Node {
			gateways = s.append(gateways, one.IP)
		}
	}
	all = slices.Clone(gateways)
	for i := range members.Stores.Members {
		if one := &members.Stores.Members[i]; one.Zone == s.self.Zone {
			all = s.append(all, one.IP)
		}
	}
	return gateways, all
}

func (s *Sharing) append(list []netip.AddrPort, ip string) []netip.AddrPort {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return list
	}
	return append(list, netip.AddrPortFrom(address, s.port))
}

// homesByZone gives the gateways of each zone with the highest hashes: taking one away leaves the others.
func homesByZone(gateways []protocol.Process) map[string][]protocol.Process {
	homes := map[string][]protocol.Process{}
	for _, one := range gateways {
		of := append(homes[one.Zone], one)
		for i := len(of) - 1; i > 0 && rank(of[i]) > rank(of[i-1]); i-- {
			of[i], of[i-1] = of[i-1], of[i]
		}
		homes[one.Zone] = of[:min(len(of), homesMost)]
	}
	return homes
}

func rank(process protocol.Process) uint64 { return xxhash.Sum64String(process.Node) }

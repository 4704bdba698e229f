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
	shareInterval = 50 * time.Millisecond
	// homesMost is how many gateways of a zone gather what its processes hear: one more than may be down unnoticed.
	aggregatorsPerZone = 2
)

// Sharing passes loads on. Each process tells the homes of its zone, two gateways that all find alike, what servers told it; a home tells
// the processes of its zone all that it knows, and homes of other zones what was told in its own. What is lost is lost: the next
// datagram follows soon, and each process can do without. What one sends and hears doesn't grow with the number of gateways but for
// the homes, whose subscribers are the processes of a zone, and a datagram's reports are bounded.
type Sharing struct {
	table   *Table
	conn    *net.UDPConn
	self    protocol.Process
	port    uint16
	members func() *protocol.MemberList

	sender          uint32 // tells this process apart
	targets         atomic.Pointer[targets]
	membersVersion  uint64 // of the members that the targets are made of
	lastShare       time.Time
	relayQueue      chan pendingPrompt // to be passed on by this home
	localBacklog    func() int64       // tokens that wait here, of a batch process; nil elsewhere
	backlogReported bool               // something waited as it was told last
	buffer          []byte
	prefillBuffer   []byte
	backlogBuffer   []byte
}

// targets are the processes that one sends to. Nobody changes them.
type targets struct {
	aggregators       []netip.AddrPort   // of the own zone, without this process
	allAggregators    [][]netip.AddrPort // homes of each zone
	zoneProcesses     []netip.AddrPort   // this process is a home: the processes of its zone
	zoneGateways      []netip.AddrPort   // ... those of them that are gateways
	remoteAggregators []netip.AddrPort   // this process is a home: homes of other zones
}

// Listen opens the port that all processes use for it.
func Listen(table *Table, self protocol.Process, port int, members func() *protocol.MemberList) (*Sharing, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(self.IP), Port: port})
	if err != nil {
		return nil, err
	}
	return &Sharing{table: table, conn: conn, self: self, port: uint16(port), members: members,
		sender: uint32(xxhash.Sum64String(self.Node + "/" + self.Incarnation)), relayQueue: make(chan pendingPrompt, maxRelayQueue),
		buffer: make([]byte, 0, datagramBytes), prefillBuffer: make([]byte, 0, prefillsBytes)}, nil
}

// Waiting has this process, a batch process, tell what waits here. It is called before Run.
func (s *Sharing) SetBacklog(tokens func() int64) { s.localBacklog = tokens }

// Run sends and receives until the context ends.
func (s *Sharing) Run(ctx context.Context) {
	defer s.conn.Close()
	go s.receive()
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	var gathered []pendingPrompt
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.share(time.Now())
		case one := <-s.relayQueue:
			if gathered = append(gathered, one); len(gathered) == 1 {
				due = time.After(relayDelay)
			}
		case <-due:
			if known := s.targets.Load(); known != nil {
				s.relayPrefills(gathered, known.zoneProcesses)
			}
			gathered, due = gathered[:0], nil
		}
	}
}

func (s *Sharing) receive() {
	var datagram [max(datagramBytes, prefillsBytes, backlogsBytes) + 1]byte
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(datagram[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if datagramKind, list, ok := decodeBacklogs(datagram[:n]); ok {
			s.table.receiveBacklogs(time.Now(), datagramKind, list)
			continue
		}
		if datagramKind, readings, ok := decodePrefills(datagram[:n]); ok {
			s.receivePrefills(time.Now(), datagramKind, readings)
			continue
		}
		s.table.receiveReports(time.Now(), datagram[:n])
	}
}

// take takes a datagram in.
func (t *Table) receiveReports(now time.Time, datagram []byte) {
	datagramKind, reports, ok := decode(datagram)
	if !ok {
		t.invalid.Add(1)
		return
	}
	for _, one := range reports {
		if one.Load.Slots > 0 {
			t.update(one.Server, loadEntry{load: one.Load, reportedAt: now.Add(-one.Age), receivedAt: now, remote: datagramKind == kindRemote})
		}
	}
	t.receiveResults(now, datagramKind, reports)
}

// takeResults takes in how requests ended: of a process of this zone, or all of the zone by a home's count.
func (t *Table) receiveResults(now time.Time, datagramKind kind, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range reports {
		switch {
		case one.Results == Results{}:
		case datagramKind == kindObserved:
			t.results.add(now, one.Server, one.Results)
		case datagramKind == kindZone:
			t.results.verdicts[one.Server] = decayingResults{Results: one.Results, updatedAt: now}
		}
	}
}

// share sends what has been heard since the last time.
func (s *Sharing) share(now time.Time) {
	s.updateTargets()
	known := s.targets.Load()
	if known == nil {
		return
	}
	s.shareBacklogs(now, known)
	since := s.lastShare
	s.lastShare = now
	heard := s.table.reportsSince(now, since, func(e loadEntry) bool { return e.direct })
	s.send(kindObserved, mergeResults(heard, s.table.drainUnsent()), known.aggregators)
	if len(known.zoneProcesses) == 0 && len(known.remoteAggregators) == 0 {
		return
	}
	all := s.table.reportsSince(now, since, func(loadEntry) bool { return true })
	s.send(kindZone, mergeResults(all, s.table.decayedSums(now)), known.zoneProcesses)
	s.send(kindRemote, s.table.reportsSince(now, since, func(e loadEntry) bool { return !e.remote }), known.remoteAggregators)
}

func (s *Sharing) send(datagramKind kind, reports []Report, to []netip.AddrPort) {
	if len(reports) == 0 || len(to) == 0 {
		return
	}
	s.buffer = encode(s.buffer, datagramKind, reports)
	for _, address := range to {
		_, _ = s.conn.WriteToUDPAddrPort(s.buffer, address)
	}
}

// update finds out whom to send to, where the members have changed.
func (s *Sharing) updateTargets() {
	members := s.members()
	if members == nil || s.targets.Load() != nil && members.Version == s.membersVersion {
		return
	}
	s.membersVersion = members.Version
	homes := aggregatorsByZone(members.Gateways)
	next := &targets{}
	isHome := slices.ContainsFunc(homes[s.self.Zone], func(home protocol.Process) bool { return home.Node == s.self.Node })
	for _, zone := range slices.Sorted(maps.Keys(homes)) {
		var datagramKind []netip.AddrPort
		for _, home := range homes[zone] {
			datagramKind = s.appendAddress(datagramKind, home.IP)
			switch {
			case zone != s.self.Zone && isHome:
				next.remoteAggregators = s.appendAddress(next.remoteAggregators, home.IP)
			case zone == s.self.Zone && home.Node != s.self.Node:
				next.aggregators = s.appendAddress(next.aggregators, home.IP)
			}
		}
		if len(datagramKind) > 0 {
			next.allAggregators = append(next.allAggregators, datagramKind)
		}
	}
	if isHome {
		next.zoneGateways, next.zoneProcesses = s.zoneAddresses(members)
	}
	s.targets.Store(next)
}

// inZone lists the gateways of this zone without this one, and all processes.
func (s *Sharing) zoneAddresses(members *protocol.MemberList) (gateways, all []netip.AddrPort) {
	for i := range members.Gateways {
		if one := &members.Gateways[i]; one.Zone == s.self.Zone && one.Node != s.self.Node {
			gateways = s.appendAddress(gateways, one.IP)
		}
	}
	all = slices.Clone(gateways)
	for i := range members.Stores.Members {
		if one := &members.Stores.Members[i]; one.Zone == s.self.Zone {
			all = s.appendAddress(all, one.IP)
		}
	}
	return gateways, all
}

func (s *Sharing) appendAddress(list []netip.AddrPort, ip string) []netip.AddrPort {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return list
	}
	return append(list, netip.AddrPortFrom(address, s.port))
}

// homesByZone gives the gateways of each zone with the highest hashes: taking one away leaves the others.
func aggregatorsByZone(gateways []protocol.Process) map[string][]protocol.Process {
	homes := map[string][]protocol.Process{}
	for _, one := range gateways {
		datagramKind := append(homes[one.Zone], one)
		for i := len(datagramKind) - 1; i > 0 && weight(datagramKind[i]) > weight(datagramKind[i-1]); i-- {
			datagramKind[i], datagramKind[i-1] = datagramKind[i-1], datagramKind[i]
		}
		homes[one.Zone] = datagramKind[:min(len(datagramKind), aggregatorsPerZone)]
	}
	return homes
}

func weight(process protocol.Process) uint64 { return xxhash.Sum64String(process.Node) }

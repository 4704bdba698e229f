package serverload

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// shareInterval is the time between datagrams of reports and backlogs to the same process.
const shareInterval = 50 * time.Millisecond

// Sharing exchanges the contents of a table with other processes, while Run runs. AnnouncePrefill may be
// called from any goroutine.
type Sharing struct {
	table   *Table
	conn    *net.UDPConn
	self    protocol.Process
	port    uint16 // of all processes
	members func() *protocol.MemberList
	sender  uint32 // identifies this process in announcements of prompts

	targets    atomic.Pointer[targets] // nil until the processes are known
	relayQueue chan pendingPrompt      // prompts that this aggregator has to relay

	// Run's goroutine only.
	membersVersion  uint64 // of the list of processes that the targets were made of
	lastShare       time.Time
	localBacklog    func() int64 // tokens that wait at this store; nil in gateways
	backlogReported bool         // something waited when it was last reported
	buffer          []byte       // of datagrams of reports
	prefillBuffer   []byte       // of datagrams of prompts
	backlogBuffer   []byte       // of datagrams of backlogs
}

// Listen opens the UDP port, the same at all processes, through which tables are shared. members returns the
// list of processes, or nil while it isn't known. Run closes the port.
func Listen(table *Table, self protocol.Process, port int, members func() *protocol.MemberList) (*Sharing, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(self.IP), Port: port})
	if err != nil {
		return nil, err
	}
	return &Sharing{table: table, conn: conn, self: self, port: uint16(port), members: members,
		sender:     uint32(xxhash.Sum64String(self.Node + "/" + self.Incarnation)),
		relayQueue: make(chan pendingPrompt, maxRelayQueue),
		buffer:     make([]byte, 0, datagramBytes), prefillBuffer: make([]byte, 0, prefillsBytes)}, nil
}

// SetBacklog makes this process, a batch process, report the tokens of its waiting items. It must be called
// before Run.
func (s *Sharing) SetBacklog(tokens func() int64) { s.localBacklog = tokens }

// Run sends and receives until ctx ends.
func (s *Sharing) Run(ctx context.Context) {
	defer s.conn.Close()
	go s.receive()
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	var gathered []pendingPrompt
	var relayDue <-chan time.Time // nil: nothing is gathered
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.share(time.Now())
		case prompt := <-s.relayQueue:
			if gathered = append(gathered, prompt); len(gathered) == 1 {
				relayDue = time.After(relayDelay)
			}
		case <-relayDue:
			if known := s.targets.Load(); known != nil {
				s.relayPrefills(gathered, known.zoneProcesses)
			}
			gathered, relayDue = gathered[:0], nil
		}
	}
}

// receive reads datagrams until the connection is closed. Its buffer is longer than any datagram may be, so
// that a longer one is noticed and dropped.
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
		if k, list, ok := decodeBacklogs(datagram[:n]); ok {
			s.table.receiveBacklogs(time.Now(), k, list)
			continue
		}
		if k, prompts, ok := decodePrefills(datagram[:n]); ok {
			s.receivePrefills(time.Now(), k, prompts)
			continue
		}
		s.table.receiveReports(time.Now(), datagram[:n])
	}
}

// share sends what was received since the last time.
func (s *Sharing) share(now time.Time) {
	s.updateTargets()
	known := s.targets.Load()
	if known == nil {
		return
	}
	s.shareBacklogs(now, known)
	since := s.lastShare
	s.lastShare = now
	direct := s.table.reportsSince(now, since, func(e loadEntry) bool { return e.direct })
	s.sendReports(kindObserved, mergeResults(direct, s.table.drainUnsent()), known.aggregators)
	if len(known.zoneProcesses) == 0 && len(known.remoteAggregators) == 0 {
		return
	}
	all := s.table.reportsSince(now, since, func(loadEntry) bool { return true })
	s.sendReports(kindZone, mergeResults(all, s.table.decayedSums(now)), known.zoneProcesses)
	local := s.table.reportsSince(now, since, func(e loadEntry) bool { return !e.remote })
	s.sendReports(kindRemote, local, known.remoteAggregators)
}

// sendReports sends a datagram of reports, if there are any.
func (s *Sharing) sendReports(k kind, reports []Report, to []netip.AddrPort) {
	if len(reports) == 0 || len(to) == 0 {
		return
	}
	s.buffer = encode(s.buffer, k, reports)
	s.sendTo(s.buffer, to)
}

// sendTo sends a datagram to each address. What can't be sent is lost.
func (s *Sharing) sendTo(datagram []byte, to []netip.AddrPort) {
	for _, address := range to {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, address)
	}
}

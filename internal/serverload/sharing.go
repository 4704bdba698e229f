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

// shareInterval is the time between two datagrams of reports, or of backlogs, to the same process.
const shareInterval = 50 * time.Millisecond

// Sharing exchanges the contents of a table with other processes while Run is running. AnnouncePrefill may be
// called from any goroutine.
type Sharing struct {
	table   *Table
	conn    *net.UDPConn
	self    protocol.Process
	port    uint16 // UDP port, the same at all processes
	members func() *protocol.MemberList
	sender  uint32 // identifies this process in announcements of prompts

	targets    atomic.Pointer[targets] // nil until the list of processes is known
	relayQueue chan pendingPrompt      // prompts that this aggregator has to relay

	// The fields below are used only by Run's goroutine.
	membersVersion  uint64 // version of the list of processes from which targets were computed
	lastShare       time.Time
	localBacklog    func() int64 // tokens that wait at this store; nil in gateways
	backlogReported bool         // the last reported backlog wasn't 0
	buffer          []byte       // for datagrams of reports
	prefillBuffer   []byte       // for datagrams of prompts
	backlogBuffer   []byte       // for datagrams of backlogs
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
		buffer:     make([]byte, 0, maxReportDatagramBytes), prefillBuffer: make([]byte, 0, maxPrefillDatagramBytes)}, nil
}

// SetBacklog sets the function that returns the tokens of the waiting items, for a batch process to report its
// backlog. It must be called before Run.
func (s *Sharing) SetBacklog(tokens func() int64) { s.localBacklog = tokens }

// Run sends and receives datagrams until ctx is done.
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
			if current := s.targets.Load(); current != nil {
				s.relayPrefills(gathered, current.zoneProcesses)
			}
			gathered, relayDue = gathered[:0], nil
		}
	}
}

// receive reads datagrams until the connection is closed. Its buffer is longer than any valid datagram, so that a
// datagram that is too long isn't truncated to a valid one, and is dropped.
func (s *Sharing) receive() {
	var datagram [max(maxReportDatagramBytes, maxPrefillDatagramBytes, maxBacklogDatagramBytes) + 1]byte
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

// share sends the backlogs, and the reports that this process has received since the last call. It sends its own
// observations to the zone's aggregators. An aggregator also sends all reports to the processes of its zone, and
// those from its zone to the aggregators of other zones.
func (s *Sharing) share(now time.Time) {
	s.updateTargets()
	current := s.targets.Load()
	if current == nil {
		return
	}
	s.shareBacklogs(now, current)
	since := s.lastShare
	s.lastShare = now
	direct := s.table.reportsSince(now, since, func(e loadEntry) bool { return e.direct })
	s.sendReports(kindObserved, mergeResults(direct, s.table.drainUnsent()), current.aggregators)
	if len(current.zoneProcesses) == 0 && len(current.remoteAggregators) == 0 {
		return
	}
	all := s.table.reportsSince(now, since, func(loadEntry) bool { return true })
	s.sendReports(kindZone, mergeResults(all, s.table.decayedSums(now)), current.zoneProcesses)
	local := s.table.reportsSince(now, since, func(e loadEntry) bool { return !e.remote })
	s.sendReports(kindRemote, local, current.remoteAggregators)
}

// sendReports sends a datagram of reports, if there are any reports.
func (s *Sharing) sendReports(k kind, reports []Report, to []netip.AddrPort) {
	if len(reports) == 0 || len(to) == 0 {
		return
	}
	s.buffer = encode(s.buffer, k, reports)
	s.sendTo(s.buffer, to)
}

// sendTo sends a datagram to each address. It ignores errors: the datagram is lost.
func (s *Sharing) sendTo(datagram []byte, to []netip.AddrPort) {
	for _, address := range to {
		_, _ = s.conn.WriteToUDPAddrPort(datagram, address)
	}
}

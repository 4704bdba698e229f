package serverload

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file owns what batch processes tell of the work that waits with them, so that gateways hand batch jobs in where least waits. Each
// runs what it owns, and all compete for the servers' free places alike: one that was handed more than others is late with it. They tell it
// only where servers tell their load: elsewhere stores don't know which places are free, and more stores with work at a time press live
// requests harder.

const (
	// backlogFor is how long a backlog stands.
	backlogTTL = 1500 * time.Millisecond
	// backlogAgain is how long a home passes on what a batch process told it.
	backlogRelayFor = 300 * time.Millisecond
	// backlogUnit is that of backlogs in datagrams, in tokens.
	backlogUnit = 256

	kindBacklog      kind = 6 // of a batch process, for homes: its own
	kindBacklogRelay kind = 7 // of a home, for the processes of its zone: all that it knows

	backlogBytes  = 12
	maxBacklogs   = 100
	backlogsBytes = headerBytes + maxBacklogs*backlogBytes
)

// backlog is what waits at a batch process.
type backlog struct {
	store  uint64 // hash of its node's name
	tokens int64
}

// waiting is what is known of one.
type backlogEntry struct {
	tokens     int64
	receivedAt time.Time
	directAt   time.Time // it told so itself
}

// Backlog gives the tokens that wait at a batch process, by its node's name; false where it hasn't told lately.
func (t *Table) Backlog(now time.Time, node string) (tokens int64, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	one, told := t.backlogs[xxhash.Sum64String(node)]
	return one.tokens, told && now.Sub(one.receivedAt) <= backlogTTL
}

// Tell notes what a batch process told, by its node's name.
func (t *Table) ReportBacklog(node string, tokens int64) {
	t.receiveBacklogs(time.Now(), kindBacklog, []backlog{{store: xxhash.Sum64String(node), tokens: tokens}})
}

func (t *Table) receiveBacklogs(now time.Time, datagramKind kind, list []backlog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range list {
		known := t.backlogs[one.store]
		if datagramKind == kindBacklog {
			known.directAt = now
		}
		known.tokens, known.receivedAt = one.tokens, now
		t.backlogs[one.store] = known
	}
	for store, one := range t.backlogs {
		if now.Sub(one.receivedAt) > backlogTTL {
			delete(t.backlogs, store)
		}
	}
}

// heardBacklogs lists what batch processes told this home themselves.
func (t *Table) directBacklogs(now time.Time) []backlog {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]backlog, 0, len(t.backlogs))
	for store, one := range t.backlogs {
		if now.Sub(one.directAt) <= backlogRelayFor {
			list = append(list, backlog{store: store, tokens: one.tokens})
		}
	}
	return list
}

// shareBacklogs tells homes what waits here, where this is a batch process, and the processes of the zone what all told, where it is a
// home. What is told doesn't change hands twice: a home of each zone hears each batch process.
func (s *Sharing) shareBacklogs(now time.Time, known *targets) {
	if s.localBacklog != nil {
		if !s.table.receivesLoads(now) {
			return
		}
		one := backlog{store: xxhash.Sum64String(s.self.Node), tokens: s.localBacklog()}
		if one.tokens > 0 || s.backlogReported {
			s.backlogReported = one.tokens > 0
			s.sendBacklogs(kindBacklog, []backlog{one}, aggregatorsFor(known.allAggregators, one.store))
		}
		return
	}
	if len(known.zoneGateways) > 0 {
		s.sendBacklogs(kindBacklogRelay, s.table.directBacklogs(now), known.zoneGateways)
	}
}

// homesFor gives one home of each zone, the same for the same key.
func aggregatorsFor(everywhere [][]netip.AddrPort, key uint64) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(everywhere))
	for _, homes := range everywhere {
		list = append(list, homes[key%uint64(len(homes))])
	}
	return list
}

func (s *Sharing) sendBacklogs(datagramKind kind, list []backlog, to []netip.AddrPort) {
	if len(list) == 0 {
		return
	}
	s.backlogBuffer = encodeBacklogs(s.backlogBuffer, datagramKind, list)
	for _, address := range to {
		_, _ = s.conn.WriteToUDPAddrPort(s.backlogBuffer, address)
	}
}

// Layout: as that of reports, and for each backlog the hash of the node's name (8) and the tokens in units of 256 (4).
func encodeBacklogs(out []byte, datagramKind kind, list []backlog) []byte {
	list = list[:min(len(list), maxBacklogs)]
	out = binary.BigEndian.AppendUint32(out[:0], magic)
	out = append(out, byte(datagramKind), byte(len(list)))
	for _, one := range list {
		out = binary.BigEndian.AppendUint64(out, one.store)
		out = binary.BigEndian.AppendUint32(out, uint32(min(max(one.tokens, 0)/backlogUnit, 1<<32-1)))
	}
	return out
}

// decodeBacklogs reads a datagram of backlogs; false where it is none.
func decodeBacklogs(datagram []byte) (datagramKind kind, list []backlog, ok bool) {
	if len(datagram) < headerBytes || binary.BigEndian.Uint32(datagram) != magic {
		return 0, nil, false
	}
	datagramKind = kind(datagram[4])
	count := int(datagram[5])
	if datagramKind != kindBacklog && datagramKind != kindBacklogRelay || count > maxBacklogs || len(datagram) != headerBytes+count*backlogBytes {
		return 0, nil, false
	}
	for at := headerBytes; at < len(datagram); at += backlogBytes {
		one := datagram[at : at+backlogBytes]
		list = append(list, backlog{store: binary.BigEndian.Uint64(one), tokens: backlogUnit * int64(binary.BigEndian.Uint32(one[8:]))})
	}
	return datagramKind, list, true
}

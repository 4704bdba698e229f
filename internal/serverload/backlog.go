package serverload

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Batch processes (stores) report their backlogs, so that gateways submit batch jobs to the store with the
// shorter one. Each store runs the jobs that it owns, and all stores have the same chance at the servers' free
// slots, so a store with more work than the others finishes it later. Stores report only while servers report
// their load. Otherwise stores don't know which slots are free, and spreading jobs over more stores would
// take more capacity from live requests.

const (
	// backlogTTL is how long a backlog is valid.
	backlogTTL = 1500 * time.Millisecond
	// backlogRelayFor is how long an aggregator relays a backlog that a store reported to it.
	backlogRelayFor = 300 * time.Millisecond
)

// Layout of an entry of a datagram of backlogs, with the sizes in bytes: the hash of the node's name (8) and the tokens
// in units of backlogUnit (4).
const (
	kindBacklog      kind = 6 // store to aggregators: its own backlog
	kindBacklogRelay kind = 7 // aggregator to the gateways of its zone: the backlogs that stores reported to it

	backlogEntryBytes       = 12
	maxBacklogs             = 100
	backlogUnit             = 256
	maxBacklogDatagramBytes = headerBytes + maxBacklogs*backlogEntryBytes
)

// backlog is the work that waits at a store, in tokens.
type backlog struct {
	store  uint64 // hash of its node's name
	tokens int64
}

// backlogEntry is a store's backlog in a Table.
type backlogEntry struct {
	tokens     int64
	receivedAt time.Time
	directAt   time.Time // when the store last reported directly to this process
}

// Backlog returns the tokens that wait at the store on a node. known is false if none has been received within
// backlogTTL.
func (t *Table) Backlog(now time.Time, node string) (tokens int64, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, found := t.backlogs[xxhash.Sum64String(node)]
	return entry.tokens, found && now.Sub(entry.receivedAt) <= backlogTTL
}

// ReportBacklog records the backlog of the store on a node, in tokens, as if the store had reported it directly to
// this process.
func (t *Table) ReportBacklog(node string, tokens int64) {
	t.receiveBacklogs(time.Now(), kindBacklog, []backlog{{store: xxhash.Sum64String(node), tokens: tokens}})
}

// receiveBacklogs records the backlogs of a datagram, and drops backlogs that have expired.
func (t *Table) receiveBacklogs(now time.Time, k kind, list []backlog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reported := range list {
		entry := t.backlogs[reported.store]
		if k == kindBacklog {
			entry.directAt = now
		}
		entry.tokens, entry.receivedAt = reported.tokens, now
		t.backlogs[reported.store] = entry
	}
	for store, entry := range t.backlogs {
		if now.Sub(entry.receivedAt) > backlogTTL {
			delete(t.backlogs, store)
		}
	}
}

// directBacklogs returns the backlogs that stores have reported directly to this process within backlogRelayFor, not
// through a relay.
func (t *Table) directBacklogs(now time.Time) []backlog {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]backlog, 0, len(t.backlogs))
	for store, entry := range t.backlogs {
		if now.Sub(entry.directAt) <= backlogRelayFor {
			list = append(list, backlog{store: store, tokens: entry.tokens})
		}
	}
	return list
}

// shareBacklogs reports the backlog of this process to one aggregator of each zone if the process is a store. If it is
// an aggregator, shareBacklogs relays the backlogs that stores have reported to it to the gateways of the zone. As
// each store reports to each zone, relayed backlogs aren't relayed again.
func (s *Sharing) shareBacklogs(now time.Time, current *targets) {
	if s.localBacklog != nil {
		if !s.table.receivesLoads(now) {
			return
		}
		own := backlog{store: xxhash.Sum64String(s.self.Node), tokens: s.localBacklog()}
		if own.tokens > 0 || s.backlogReported {
			s.backlogReported = own.tokens > 0
			s.sendBacklogs(kindBacklog, []backlog{own}, aggregatorsFor(current.allAggregators, own.store))
		}
		return
	}
	if len(current.zoneGateways) > 0 {
		s.sendBacklogs(kindBacklogRelay, s.table.directBacklogs(now), current.zoneGateways)
	}
}

// aggregatorsFor returns one aggregator of each zone, always the same ones for a key.
func aggregatorsFor(allAggregators [][]netip.AddrPort, key uint64) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(allAggregators))
	for _, aggregators := range allAggregators {
		list = append(list, aggregators[key%uint64(len(aggregators))])
	}
	return list
}

// sendBacklogs sends a datagram of backlogs, if there are any.
func (s *Sharing) sendBacklogs(k kind, list []backlog, to []netip.AddrPort) {
	if len(list) == 0 {
		return
	}
	s.backlogBuffer = encodeBacklogs(s.backlogBuffer, k, list)
	s.sendTo(s.backlogBuffer, to)
}

// encodeBacklogs encodes a datagram with as many of the backlogs as fit. It reuses buffer.
func encodeBacklogs(buffer []byte, k kind, list []backlog) []byte {
	list = list[:min(len(list), maxBacklogs)]
	out := appendHeader(buffer, k, len(list))
	for _, entry := range list {
		out = binary.BigEndian.AppendUint64(out, entry.store)
		out = binary.BigEndian.AppendUint32(out, uint32(min(max(entry.tokens, 0)/backlogUnit, 1<<32-1)))
	}
	return out
}

// decodeBacklogs decodes a datagram of backlogs. ok is false if the datagram isn't a valid one of this kind.
func decodeBacklogs(datagram []byte) (k kind, list []backlog, ok bool) {
	k, entries, ok := parseHeader(datagram, backlogEntryBytes, maxBacklogs, kindBacklog, kindBacklogRelay)
	if !ok {
		return 0, nil, false
	}
	for entry := range slices.Chunk(entries, backlogEntryBytes) {
		list = append(list, backlog{store: binary.BigEndian.Uint64(entry),
			tokens: backlogUnit * int64(binary.BigEndian.Uint32(entry[8:]))})
	}
	return k, list, true
}

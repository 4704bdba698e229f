package serverload

import (
	"sync"
	"sync/atomic"
	"time"
)

// loadTTL is how long a load is valid: about the duration of the requests that it counts.
const loadTTL = 1500 * time.Millisecond

// Table holds the load of servers, by the hashes of their ids, and of batch processes, as far as a process knows it.
// It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex // guards the fields below, except invalid
	entries  map[uint64]loadEntry
	newestAt time.Time // when any server last reported its load
	sweptAt  time.Time
	results  results

	prefillUntil       map[uint64]time.Time // when servers will have read the prompts that other processes sent
	prefillsAfterSweep int                  // length of prefillUntil after its last sweep

	backlogs map[uint64]backlogEntry // by the hash of the batch process's node

	invalid atomic.Int64 // headers and datagrams that could not be parsed
}

// loadEntry is the newest load of a server.
type loadEntry struct {
	load       Load
	reportedAt time.Time // when the server reported it to any process
	receivedAt time.Time // when this process received it
	direct     bool      // the server reported it to this process
	remote     bool      // it was received from another zone
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[uint64]loadEntry{}, results: newResults(), prefillUntil: map[uint64]time.Time{},
		backlogs: map[uint64]backlogEntry{}}
}

// Observe records the load in the header of a server's response. An empty header means that the server
// doesn't report its load. A header that can't be parsed is dropped and counted (Invalid).
func (t *Table) Observe(now time.Time, server uint64, header string) {
	if header == "" {
		return
	}
	load, ok := Parse(header)
	if !ok {
		t.invalid.Add(1)
		return
	}
	t.update(server, loadEntry{load: load, reportedAt: now, receivedAt: now, direct: true})
}

// Invalid returns the number of headers and datagrams that could not be parsed.
func (t *Table) Invalid() int64 { return t.invalid.Load() }

// Lookup returns a server's load and when it was reported. known is false if there is none or it has expired.
func (t *Table) Lookup(now time.Time, server uint64) (load Load, reportedAt time.Time, known bool) {
	t.mu.RLock()
	entry, found := t.entries[server]
	t.mu.RUnlock()
	if !found || now.Sub(entry.reportedAt) > loadTTL {
		return Load{}, time.Time{}, false
	}
	return entry.load, entry.reportedAt, true
}

// receivesLoads reports whether any server has reported its load within loadTTL.
func (t *Table) receivesLoads(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now.Sub(t.newestAt) <= loadTTL
}

// update records a server's load if it is newer than the known one.
func (t *Table) update(server uint64, entry loadEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, found := t.entries[server]; found && !entry.reportedAt.After(known.reportedAt) {
		return
	}
	t.entries[server] = entry
	if entry.reportedAt.After(t.newestAt) {
		t.newestAt = entry.reportedAt
	}
	t.sweep(entry.reportedAt)
}

// sweep drops loads and results that have expired, once every loadTTL. mu is held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < loadTTL {
		return
	}
	t.sweptAt = now
	for server, entry := range t.entries {
		if now.Sub(entry.reportedAt) > loadTTL {
			delete(t.entries, server)
		}
	}
	t.results.sweep(now)
}

// Report is the information about a server that one process sends to another.
type Report struct {
	Server  uint64        // hash of its id
	Load    Load          // Slots is 0 if no load is reported
	Age     time.Duration // of the load
	Results Results
}

// reportsSince returns reports of the valid loads that were received after moment and for which accept returns true.
func (t *Table) reportsSince(now, moment time.Time, accept func(loadEntry) bool) []Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []Report
	for server, entry := range t.entries {
		if age := now.Sub(entry.reportedAt); entry.receivedAt.After(moment) && age <= loadTTL && accept(entry) {
			list = append(list, Report{Server: server, Load: entry.load, Age: age})
		}
	}
	return list
}

// receiveReports records the reports of a datagram. A datagram that can't be decoded is counted (Invalid).
func (t *Table) receiveReports(now time.Time, datagram []byte) {
	k, reports, ok := decode(datagram)
	if !ok {
		t.invalid.Add(1)
		return
	}
	for _, report := range reports {
		if report.Load.Slots > 0 {
			t.update(report.Server, loadEntry{load: report.Load, reportedAt: now.Add(-report.Age), receivedAt: now,
				remote: k == kindRemote})
		}
	}
	t.receiveResults(now, k, reports)
}

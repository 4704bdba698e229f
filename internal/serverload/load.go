// Package serverload owns what servers tell of their load, how requests end there, which long prompts they have yet to read, and what
// waits at batch processes: how a load is read from answers, how all that ages, and how gateways and batch processes pass it on, so that
// each knows what the whole zone has seen. A server's word is a
// hint: what can't be read is dropped and counted, and what is too old counts as not told. It must never fail a request, nor choose a
// server.
package serverload

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Header is the header of answers that tells the load: requests running, requests waiting and slots, separated by commas.
const Header = "X-Server-Load"

// validFor is how long a load stands: about as long as the requests that make it up last.
const loadTTL = 1500 * time.Millisecond

// mostCount bounds what is believed of each number.
const maxCount = 1<<16 - 1

// Load is what a server tells.
type Load struct {
	Running int
	Waiting int
	Slots   int // requests that it runs at once; above 0
}

// Present counts the requests that are at the server.
func (l Load) InFlight() int { return l.Running + l.Waiting }

// Parse reads a load as it stands in a header.
func Parse(text string) (Load, bool) {
	var numbers [3]int
	rest, more := text, true
	for i := range numbers {
		var number string
		if !more {
			return Load{}, false
		}
		number, rest, more = strings.Cut(rest, ",")
		value, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || value < 0 || value > maxCount {
			return Load{}, false
		}
		numbers[i] = value
	}
	if more || numbers[2] == 0 {
		return Load{}, false
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// Board holds the newest load of each server, by the hash of its id. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	entries map[uint64]loadEntry
	results results

	backlogs           map[uint64]backlogEntry // of batch processes
	prefillUntil       map[uint64]time.Time    // until when servers read what other processes sent
	prefillsAfterSweep int                     // of them, after those that were over had been dropped
	newestAt           time.Time               // newest load of any server
	sweptAt            time.Time
	invalid            atomic.Int64
}

// entry is the newest load of a server that is known here.
type loadEntry struct {
	load       Load
	reportedAt time.Time // it was told
	receivedAt time.Time // here
	direct     bool      // to this process
	remote     bool      // heard from another zone
}

// NewBoard gives an empty board.
func NewTable() *Table {
	return &Table{entries: map[uint64]loadEntry{}, results: newResults(), prefillUntil: map[uint64]time.Time{}, backlogs: map[uint64]backlogEntry{}}
}

// Note takes in the header of an answer; an empty one tells nothing.
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

// hearsLoads tells whether servers tell their load.
func (t *Table) receivesLoads(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return now.Sub(t.newestAt) <= loadTTL
}

// Invalid counts the headers that could not be read.
func (t *Table) Invalid() int64 { return t.invalid.Load() }

func (t *Table) update(server uint64, one loadEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, held := t.entries[server]; held && !one.reportedAt.After(known.reportedAt) {
		return
	}
	t.entries[server] = one
	if one.reportedAt.After(t.newestAt) {
		t.newestAt = one.reportedAt
	}
	t.sweep(one.reportedAt)
}

// sweep forgets what is too old. The mutex is held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < loadTTL {
		return
	}
	t.sweptAt = now
	for server, one := range t.entries {
		if now.Sub(one.reportedAt) > loadTTL {
			delete(t.entries, server)
		}
	}
	t.results.sweep(now)
}

// Known gives a server's load and when it was told; false where nothing is known that still stands.
func (t *Table) Lookup(now time.Time, server uint64) (load Load, at time.Time, known bool) {
	t.mu.RLock()
	one, held := t.entries[server]
	t.mu.RUnlock()
	if !held || now.Sub(one.reportedAt) > loadTTL {
		return Load{}, time.Time{}, false
	}
	return one.load, one.reportedAt, true
}

// Report is what is known of a server on its way to others.
type Report struct {
	Server  uint64
	Load    Load // without places: none is told
	Age     time.Duration
	Results Results
}

// since lists what was heard after a moment and fits.
func (t *Table) reportsSince(now, moment time.Time, fits func(loadEntry) bool) []Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []Report
	for server, one := range t.entries {
		if age := now.Sub(one.reportedAt); one.receivedAt.After(moment) && age <= loadTTL && fits(one) {
			list = append(list, Report{Server: server, Load: one.load, Age: age})
		}
	}
	return list
}

package serverload

import (
	"math"
	"time"
)

// A server that fails its requests quickly reports a low load, and would attract more requests. A single gateway
// would notice that only by failures of its own requests. So each process sends the results of its requests to the
// aggregators of its zone, which add them up and send the sums to the zone's processes. Each zone uses only the
// results of its own requests, because a server may fail for the callers of one zone and not of another. Results
// are counted only while servers report their load: otherwise no low load attracts requests to a failing server.

const (
	// resultsDecay is the time in which counts decay to 1/e.
	resultsDecay = time.Second
	// A server is failing if at least minFailures of its recent requests failed, and at least the share
	// minFailureShare of them (as decayed counts).
	minFailures, minFailureShare = 2.0, 0.25
	// zoneCountsTTL is how long the counts of the zone that an aggregator sent are valid.
	zoneCountsTTL = time.Second
	// maxResults is the highest count in a datagram.
	maxResults = 255
)

// Results counts the requests at a server by whether they succeeded. The counts decay, so they aren't integers.
type Results struct{ Served, Failed float64 }

// failing reports whether the results are those of a failing server.
func (r Results) failing() bool {
	return r.Failed >= minFailures && r.Failed >= minFailureShare*(r.Served+r.Failed)
}

// empty reports whether both counts round to 0.
func (r Results) empty() bool { return r.Served < 0.5 && r.Failed < 0.5 }

func (r *Results) add(more Results) {
	r.Served += more.Served
	r.Failed += more.Failed
}

// decayingResults are counts that decay exponentially.
type decayingResults struct {
	Results
	updatedAt time.Time
}

// decayTo decays the counts up to now.
func (d *decayingResults) decayTo(now time.Time) {
	if factor := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(resultsDecay)); factor < 1 {
		d.Served *= factor
		d.Failed *= factor
	}
	d.updatedAt = now
}

// results holds the counts of a process, by the hashes of the servers' ids. The table's mu guards it.
type results struct {
	unsent     map[uint64]Results          // of this process, since it last sent counts to aggregators
	sums       map[uint64]*decayingResults // of this process, and of the processes that sent it their counts
	zoneCounts map[uint64]decayingResults  // of the whole zone, as sent by an aggregator
}

func newResults() results {
	return results{unsent: map[uint64]Results{}, sums: map[uint64]*decayingResults{},
		zoneCounts: map[uint64]decayingResults{}}
}

// add adds counts to a server's sums.
func (r *results) add(now time.Time, server uint64, more Results) {
	sum := r.sums[server]
	if sum == nil {
		sum = &decayingResults{updatedAt: now}
		r.sums[server] = sum
	}
	sum.decayTo(now)
	sum.add(more)
}

// sweep drops sums that have decayed and counts of the zone that have expired.
func (r *results) sweep(now time.Time) {
	for server, sum := range r.sums {
		if sum.decayTo(now); sum.empty() {
			delete(r.sums, server)
		}
	}
	for server, counts := range r.zoneCounts {
		if now.Sub(counts.updatedAt) > zoneCountsTTL {
			delete(r.zoneCounts, server)
		}
	}
}

// RecordResult counts a request at a server as served or failed. It does nothing unless servers report their load.
func (t *Table) RecordResult(now time.Time, server uint64, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.newestAt) > loadTTL {
		return
	}
	result := Results{Served: 1}
	if failed {
		result = Results{Failed: 1}
	}
	sum := t.results.unsent[server]
	sum.add(result)
	t.results.unsent[server] = sum
	t.results.add(now, server, result)
}

// Failing reports whether a server is failing, by the counts of the zone or by the sums of this process.
func (t *Table) Failing(now time.Time, server uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if counts, found := t.results.zoneCounts[server]; found && now.Sub(counts.updatedAt) <= zoneCountsTTL &&
		counts.failing() {
		return true
	}
	sum := t.results.sums[server]
	if sum == nil {
		return false
	}
	decayed := *sum // a copy, as only the read lock is held
	decayed.decayTo(now)
	return decayed.failing()
}

// drainUnsent returns the counts that are to be sent to aggregators, and resets them.
func (t *Table) drainUnsent() map[uint64]Results {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := t.results.unsent
	t.results.unsent = make(map[uint64]Results, len(unsent))
	return unsent
}

// decayedSums returns the sums, decayed up to now, of all servers with recent results.
func (t *Table) decayedSums(now time.Time) map[uint64]Results {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[uint64]Results, len(t.results.sums))
	for server, sum := range t.results.sums {
		if sum.decayTo(now); !sum.empty() {
			all[server] = sum.Results
		}
	}
	return all
}

// mergeResults adds counts to the reports of their servers, and a report without a load for each server that has
// none. It deletes from counts the entries that it added to existing reports.
func mergeResults(reports []Report, counts map[uint64]Results) []Report {
	for i := range reports {
		if count, counted := counts[reports[i].Server]; counted {
			reports[i].Results = count
			delete(counts, reports[i].Server)
		}
	}
	for server, count := range counts {
		reports = append(reports, Report{Server: server, Results: count})
	}
	return reports
}

// receiveResults records the counts in reports: those of one process of this zone (kindObserved), or those of the
// whole zone from an aggregator (kindZone).
func (t *Table) receiveResults(now time.Time, k kind, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range reports {
		report := &reports[i]
		switch {
		case report.Results == Results{}:
		case k == kindObserved:
			t.results.add(now, report.Server, report.Results)
		case k == kindZone:
			t.results.zoneCounts[report.Server] = decayingResults{Results: report.Results, updatedAt: now}
		}
	}
}

package serverload

import (
	"math"
	"time"
)

// A server that fails its requests quickly has little load to report, and would attract more requests. A
// gateway alone would find that out only by failures of its own. So each process sends the results of its
// requests to the aggregators of its zone; these add them up, and send the sums to the zone's processes. A
// zone judges by its own requests only, as a server may fail for the callers of one zone and not of another.
// Results at servers that don't report their load aren't counted: no load attracts requests to them.

const (
	// resultsDecay is the time in which counts decay to 1/e.
	resultsDecay = time.Second
	// A server is failing if it failed at least minFailures of the recent requests, and minFailureShare of
	// all (as decayed counts).
	minFailures, minFailureShare = 2.0, 0.25
	// verdictTTL is how long counts are valid that an aggregator sent.
	verdictTTL = time.Second
	// maxResults bounds the counts in a datagram.
	maxResults = 255
)

// Results counts the requests at a server by how they ended. Counts decay, so they are no integers.
type Results struct{ Served, Failed float64 }

// failing reports whether the results are those of a failing server.
func (r Results) failing() bool {
	return r.Failed >= minFailures && r.Failed >= minFailureShare*(r.Served+r.Failed)
}

// empty reports whether the counts round to nothing.
func (r Results) empty() bool { return r.Served < 0.5 && r.Failed < 0.5 }

func (r *Results) add(more Results) {
	r.Served += more.Served
	r.Failed += more.Failed
}

// decayingResults are sums that decay exponentially.
type decayingResults struct {
	Results
	updatedAt time.Time
}

// decayTo decays the sums to a moment.
func (d *decayingResults) decayTo(now time.Time) {
	if left := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(resultsDecay)); left < 1 {
		d.Served *= left
		d.Failed *= left
	}
	d.updatedAt = now
}

// results are the counts of a process. The table's mu guards them.
type results struct {
	unsent   map[uint64]Results          // of this process, since it last sent them to aggregators
	sums     map[uint64]*decayingResults // of this process, and of those that sent theirs to it
	verdicts map[uint64]decayingResults  // of the zone, as an aggregator sent them
}

func newResults() results {
	return results{unsent: map[uint64]Results{}, sums: map[uint64]*decayingResults{},
		verdicts: map[uint64]decayingResults{}}
}

// add adds to a server's sums.
func (r *results) add(now time.Time, server uint64, more Results) {
	sum := r.sums[server]
	if sum == nil {
		sum = &decayingResults{updatedAt: now}
		r.sums[server] = sum
	}
	sum.decayTo(now)
	sum.add(more)
}

// sweep drops what has decayed or expired.
func (r *results) sweep(now time.Time) {
	for server, sum := range r.sums {
		if sum.decayTo(now); sum.empty() {
			delete(r.sums, server)
		}
	}
	for server, verdict := range r.verdicts {
		if now.Sub(verdict.updatedAt) > verdictTTL {
			delete(r.verdicts, server)
		}
	}
}

// RecordResult counts how a request ended at a server, if servers report their load.
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

// Failing reports whether a server fails the requests of the zone or of this process.
func (t *Table) Failing(now time.Time, server uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if verdict, found := t.results.verdicts[server]; found && now.Sub(verdict.updatedAt) <= verdictTTL &&
		verdict.failing() {
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

// drainUnsent returns the counts to be sent to aggregators, and resets them.
func (t *Table) drainUnsent() map[uint64]Results {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := t.results.unsent
	t.results.unsent = make(map[uint64]Results, len(unsent))
	return unsent
}

// decayedSums returns the sums of all servers with recent results.
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

// mergeResults adds counts to the reports of their servers. Servers without one get a report without a load.
// It empties counts.
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

// receiveResults records the counts in reports: of one process of this zone (kindObserved), or of the whole
// zone from an aggregator (kindZone).
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
			t.results.verdicts[report.Server] = decayingResults{Results: report.Results, updatedAt: now}
		}
	}
}

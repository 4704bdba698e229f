package serverload

import (
	"math"
	"time"
)

// This file owns how requests end at servers. A server that fails what it gets has little to do, and would draw all that goes where little
// is done; one gateway alone would learn of it by as many failures as each other one. So the homes of a zone sum up how the requests of
// its processes ended, and tell which servers fail. A zone judges by its own requests: a server may fail for some callers only. Servers
// that don't tell their load are not counted: nothing is drawn to them by it.

const (
	// resultsFade is the time after which a third is left of what was counted.
	resultsDecay = time.Second
	// A server fails that failed failedLeast requests lately, and failedShare of all.
	minFailures, minFailureShare = 2.0, 0.25
	// verdictFor is how long a home's count stands without another.
	verdictTTL = time.Second
	// mostResults bounds the counts of one datagram.
	maxResults = 255
)

// Results counts how requests ended at a server.
type Results struct{ Served, Failed float64 }

// fails tells whether they are those of a server that is to be left alone.
func (r Results) failing() bool {
	return r.Failed >= minFailures && r.Failed >= minFailureShare*(r.Served+r.Failed)
}

func (r Results) empty() bool { return r.Served < 0.5 && r.Failed < 0.5 }

func (r *Results) add(more Results) {
	r.Served += more.Served
	r.Failed += more.Failed
}

// fading is a sum that fades.
type decayingResults struct {
	Results
	updatedAt time.Time
}

func (f *decayingResults) decayTo(now time.Time) {
	if left := math.Exp(-float64(now.Sub(f.updatedAt)) / float64(resultsDecay)); left < 1 {
		f.Served *= left
		f.Failed *= left
	}
	f.updatedAt = now
}

// results are the counts of a process.
type results struct {
	unsent   map[uint64]Results          // of this process, since it told its homes last
	sums     map[uint64]*decayingResults // of all processes that told this one, and its own
	verdicts map[uint64]decayingResults  // of the zone, as a home told
}

func newResults() results {
	return results{unsent: map[uint64]Results{}, sums: map[uint64]*decayingResults{}, verdicts: map[uint64]decayingResults{}}
}

func (r *results) add(now time.Time, server uint64, more Results) {
	sum := r.sums[server]
	if sum == nil {
		sum = &decayingResults{updatedAt: now}
		r.sums[server] = sum
	}
	sum.decayTo(now)
	sum.add(more)
}

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

// Ended notes how a request ended at a server, where servers tell their load.
func (t *Table) RecordResult(now time.Time, server uint64, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.newestAt) > loadTTL {
		return
	}
	one := Results{Served: 1}
	if failed {
		one = Results{Failed: 1}
	}
	sum := t.results.unsent[server]
	sum.add(one)
	t.results.unsent[server] = sum
	t.results.add(now, server, one)
}

// Fails tells whether a server fails what it gets, by what the zone or this process has seen lately.
func (t *Table) Failing(now time.Time, server uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if verdict, told := t.results.verdicts[server]; told && now.Sub(verdict.updatedAt) <= verdictTTL && verdict.failing() {
		return true
	}
	sum := t.results.sums[server]
	if sum == nil {
		return false
	}
	faded := *sum
	faded.decayTo(now)
	return faded.failing()
}

// takeFresh gives what is to be told to the homes, and begins anew.
func (t *Table) drainUnsent() map[uint64]Results {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := t.results.unsent
	t.results.unsent = make(map[uint64]Results, len(fresh))
	return fresh
}

// summed gives what was counted of all servers that requests ended at lately.
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

// attach joins counts to reports; servers without a load get reports of their own.
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

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
	resultsFade = time.Second
	// A server fails that failed failedLeast requests lately, and failedShare of all.
	failedLeast, failedShare = 2.0, 0.25
	// verdictFor is how long a home's count stands without another.
	verdictFor = time.Second
	// mostResults bounds the counts of one datagram.
	mostResults = 255
)

// Results counts how requests ended at a server.
type Results struct{ Served, Failed float64 }

// fails tells whether they are those of a server that is to be left alone.
func (r Results) fails() bool {
	return r.Failed >= failedLeast && r.Failed >= failedShare*(r.Served+r.Failed)
}

func (r Results) empty() bool { return r.Served < 0.5 && r.Failed < 0.5 }

func (r *Results) add(more Results) {
	r.Served += more.Served
	r.Failed += more.Failed
}

// fading is a sum that fades.
type fading struct {
	Results
	at time.Time
}

func (f *fading) fadeTo(now time.Time) {
	if left := math.Exp(-float64(now.Sub(f.at)) / float64(resultsFade)); left < 1 {
		f.Served *= left
		f.Failed *= left
	}
	f.at = now
}

// results are the counts of a process.
type results struct {
	fresh    map[uint64]Results // of this process, since it told its homes last
	sums     map[uint64]*fading // of all processes that told this one, and its own
	verdicts map[uint64]fading  // of the zone, as a home told
}

func newResults() results {
	return results{fresh: map[uint64]Results{}, sums: map[uint64]*fading{}, verdicts: map[uint64]fading{}}
}

func (r *results) sum(now time.Time, server uint64, more Results) {
	sum := r.sums[server]
	if sum == nil {
		sum = &fading{at: now}
		r.sums[server] = sum
	}
	sum.fadeTo(now)
	sum.add(more)
}

func (r *results) sweep(now time.Time) {
	for server, sum := range r.sums {
		if sum.fadeTo(now); sum.empty() {
			delete(r.sums, server)
		}
	}
	for server, verdict := range r.verdicts {
		if now.Sub(verdict.at) > verdictFor {
			delete(r.verdicts, server)
		}
	}
}

// Ended notes how a request ended at a server, where servers tell their load.
func (b *Board) Ended(now time.Time, server uint64, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.told) > validFor {
		return
	}
	one := Results{Served: 1}
	if failed {
		one = Results{Failed: 1}
	}
	sum := b.results.fresh[server]
	sum.add(one)
	b.results.fresh[server] = sum
	b.results.sum(now, server, one)
}

// Fails tells whether a server fails what it gets, by what the zone or this process has seen lately.
func (b *Board) Fails(now time.Time, server uint64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if verdict, told := b.results.verdicts[server]; told && now.Sub(verdict.at) <= verdictFor && verdict.fails() {
		return true
	}
	sum := b.results.sums[server]
	if sum == nil {
		return false
	}
	faded := *sum
	faded.fadeTo(now)
	return faded.fails()
}

// takeFresh gives what is to be told to the homes, and begins anew.
func (b *Board) takeFresh() map[uint64]Results {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.results.fresh
	b.results.fresh = make(map[uint64]Results, len(fresh))
	return fresh
}

// summed gives what was counted of all servers that requests ended at lately.
func (b *Board) summed(now time.Time) map[uint64]Results {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[uint64]Results, len(b.results.sums))
	for server, sum := range b.results.sums {
		if sum.fadeTo(now); !sum.empty() {
			all[server] = sum.Results
		}
	}
	return all
}

// attach joins counts to reports; servers without a load get reports of their own.
func attach(reports []Report, counts map[uint64]Results) []Report {
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

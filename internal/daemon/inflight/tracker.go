package inflight

// This file has what a gateway makes of its neighbors' reports.

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is a reading of the gateway's monotonic clock.
type Time = policy.Time

const (
	// outsidePenalty is by how much a member outside the subset is taken to be busier than the subset's mean, as a
	// fraction of that mean plus one.
	outsidePenalty = 0.3
	// reportTTL is how long a neighbor's report counts.
	reportTTL = time.Second
	// intakeRatio is the part of a gateway's limit of incoming messages that the reports of all neighbors may use.
	intakeRatio = 0.5
	// minInterval is the shortest time between two reports.
	minInterval = time.Second / 30
	// refreshInterval is how often a report is repeated that has not changed. Two may be lost before it expires.
	refreshInterval = reportTTL / 3

	// A member at which attempts fail is taken to be busier by failurePenalty times the fraction that fails, as if so
	// many more requests were in flight there: otherwise a member that fails fast would look idle. failurePrior is a
	// number of successes that is added to what was observed, so that a single failure counts little.
	failurePenalty = 20.0
	failurePrior   = 2.0
)

// Tracker estimates the load of the pool members for one gateway. It is not safe for concurrent use.
type Tracker struct {
	self, gateways int
	neighbors      []int         // numbers of the gateways that reports are exchanged with
	interval       time.Duration // between two calls of NextReport
	members        []member      // by hash
	reports        map[int]*report
	local          report // what this gateway reports
	lastReportAt   Time
	changed        bool // local is not what was reported last
	seq            uint16
	dropped        uint64 // invalid reports
}

// member is a pool member on the ring.
type member struct {
	id        policy.ServerID
	hash      uint16
	ambiguous bool // another member has the same hash, so that reports on it are ignored
	inSubset  bool
}

// New returns the tracker of gateway number self, whose peers may send it so many messages a second in all (intake;
// 0: any number). It returns nil for a fleet so small that each gateway is every other's neighbor: the subset would
// be the whole pool.
func New(self, gateways int, intake float64) *Tracker {
	neighbors := policy.NearbyGateways(self, gateways)
	if len(neighbors) >= gateways-1 {
		return nil
	}
	t := &Tracker{self: self, gateways: gateways, neighbors: neighbors, interval: minInterval, reports: map[int]*report{}}
	if intake > 0 {
		fromAll := float64(len(neighbors)) / (intakeRatio * intake) // seconds
		t.interval = max(t.interval, time.Duration(fromAll*float64(time.Second)))
	}
	return t
}

// Seq returns the sequence number of the last report, for Resume.
func (t *Tracker) Seq() uint16 { return t.seq }

// Resume continues the sequence numbers of this gateway's former process. Neighbors would take the first reports for
// reordered ones otherwise.
func (t *Tracker) Resume(seq uint16) { t.seq = seq }

// Interval returns how often to call NextReport.
func (t *Tracker) Interval() time.Duration { return t.interval }

// Dropped returns the number of invalid reports that were dropped.
func (t *Tracker) Dropped() uint64 { return t.dropped }

// SetLocal sets what this gateway has in flight, and what failed, at each member.
func (t *Tracker) SetLocal(own map[policy.ServerID]policy.OwnLoad) {
	var local report
	for _, m := range t.members {
		o := own[m.id]
		if o.Failures > 0 && !m.ambiguous && len(local.failures) < maxFailures {
			steps := func(x float64) uint8 { return uint8(math.Min(math.Round(x*stepsPerAttempt), math.MaxUint8)) }
			local.failures = append(local.failures, failureCount{m.hash, steps(o.Failures), steps(o.Attempts)})
		}
	}
	for _, m := range t.members {
		for k := 0; k < own[m.id].InFlight && local.size()+hashSize <= maxDatagramSize; k++ {
			local.inFlight = append(local.inFlight, m.hash)
		}
	}
	// A failure count that only decays needn't be reported at once.
	reported := func(x, y failureCount) bool { return x.hash == y.hash && x.failed <= y.failed }
	t.changed = t.changed || !slices.Equal(local.inFlight, t.local.inFlight) ||
		!slices.EqualFunc(local.failures, t.local.failures, reported)
	t.local = local
}

// NextReport returns the report that is due now and the neighbors to send it to; none if they know it already.
func (t *Tracker) NextReport(now Time) (neighbors []int, datagram []byte) {
	empty := len(t.local.inFlight)+len(t.local.failures) == 0
	if !t.changed && (empty || now-t.lastReportAt < refreshInterval) {
		return nil, nil
	}
	t.changed, t.lastReportAt = false, now
	t.seq++
	t.local.seq = t.seq
	return t.neighbors, t.local.encode()
}

// Receive takes a neighbor's report. It ignores one that is older than the last one, and drops one that is invalid
// or from a gateway that is no neighbor.
func (t *Tracker) Receive(now Time, from int, datagram []byte) {
	if !isReport(datagram) || !slices.Contains(t.neighbors, from) {
		t.dropped++
		return
	}
	last, seq := t.reports[from], reportSeq(datagram)
	if last != nil && int16(seq-last.seq) <= 0 && now-last.receivedAt < reportTTL {
		return // reordered; after a time-out it would be another process's
	}
	r := decodeReport(datagram)
	r.receivedAt = now
	t.reports[from] = r
}

// Loads returns for each member how many requests the other gateways are estimated to have in flight there. In the
// subset that is what the neighbors report; the other members are taken to be as busy as the subset's mean and
// somewhat more. A member at which attempts fail, here or at a neighbor, is taken to be busier.
func (t *Tracker) Loads(now Time) []policy.Load {
	inFlight, failed, attempts := map[uint16]int{}, map[uint16]float64{}, map[uint16]float64{}
	addFailures := func(list []failureCount) {
		for _, f := range list {
			failed[f.hash] += float64(f.failed) / stepsPerAttempt
			attempts[f.hash] += float64(f.attempts) / stepsPerAttempt
		}
	}
	addFailures(t.local.failures)
	for from, r := range t.reports {
		if now-r.receivedAt > reportTTL {
			delete(t.reports, from)
			continue
		}
		for _, hash := range r.inFlight {
			inFlight[hash]++
		}
		addFailures(r.failures)
	}
	sum, n := 0, 0
	for _, m := range t.members {
		if m.inSubset {
			sum, n = sum+inFlight[m.hash], n+1
		}
	}
	mean := float64(sum) / float64(max(n, 1))
	loads := make([]policy.Load, len(t.members))
	for i, m := range t.members {
		loads[i] = policy.Load{ID: m.id, Attempts: mean + outsidePenalty*(1+mean)}
		if m.inSubset {
			loads[i].Attempts = float64(inFlight[m.hash])
		}
		if f := failed[m.hash]; f > 0 && !m.ambiguous {
			loads[i].Attempts += failurePenalty * f / (math.Max(f, attempts[m.hash]) + failurePrior)
		}
	}
	return loads
}

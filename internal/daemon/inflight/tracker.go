package inflight

// This file has the Tracker, which estimates the load of members from the neighbors' reports.

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is a reading of the gateway's monotonic clock.
type Time = policy.Time

const (
	// outsidePenalty is the amount by which a member outside the subset is assumed to be busier than the subset's mean,
	// as a fraction of that mean plus one.
	outsidePenalty = 0.3
	// reportTTL is the time after which a neighbor's report expires.
	reportTTL = time.Second
	// intakeRatio is the fraction of a gateway's limit of incoming messages that the reports of all neighbors may use.
	intakeRatio = 0.5
	// minInterval is the shortest time between two reports.
	minInterval = time.Second / 30
	// refreshInterval is the interval at which an unchanged report is repeated. Two repetitions may be lost before the
	// report expires.
	refreshInterval = reportTTL / 3

	// The load of a member at which attempts fail is increased by failurePenalty requests in flight times the fraction
	// of attempts that fail, because a member that fails fast would look idle otherwise. failurePrior is a number of
	// successes that is added to the observed attempts, so that a single failure counts little.
	failurePenalty = 20.0
	failurePrior   = 2.0
)

// Tracker estimates the load of the pool members for one gateway. It is not safe for concurrent use.
type Tracker struct {
	self, gateways int
	neighbors      []int         // numbers of the gateways with which reports are exchanged
	interval       time.Duration // between two calls of NextReport
	members        []member      // sorted by hash
	reports        map[int]*report
	local          report // this gateway's own report
	lastReportAt   Time
	changed        bool // local has changed since the last report
	seq            uint16
	dropped        uint64 // number of invalid reports that were dropped
}

// member is a pool member on the ring.
type member struct {
	id        policy.ServerID
	hash      uint16
	ambiguous bool // another member has the same hash, so reports on this hash are ignored
	inSubset  bool
}

// New returns the tracker of gateway number self in a fleet of the given number of gateways. intake is the limit of
// messages per second that this gateway accepts from all peers together; 0 is no limit. New returns nil if the fleet is
// so small that all gateways are neighbors of each other, because the subset would be the whole pool.
func New(self, gateways int, intake float64) *Tracker {
	neighbors := policy.NearbyGateways(self, gateways)
	if len(neighbors) >= gateways-1 {
		return nil
	}
	t := &Tracker{self: self, gateways: gateways, neighbors: neighbors, interval: minInterval, reports: map[int]*report{}}
	if intake > 0 {
		intervalSeconds := float64(len(neighbors)) / (intakeRatio * intake)
		t.interval = max(t.interval, time.Duration(intervalSeconds*float64(time.Second)))
	}
	return t
}

// Seq returns the sequence number of the last report, for Resume.
func (t *Tracker) Seq() uint16 { return t.seq }

// Resume continues the sequence numbers after seq, the last one of this gateway's previous process. Otherwise neighbors
// would ignore the first reports as reordered.
func (t *Tracker) Resume(seq uint16) { t.seq = seq }

// Interval returns the interval at which to call NextReport.
func (t *Tracker) Interval() time.Duration { return t.interval }

// Dropped returns the number of invalid reports that were dropped.
func (t *Tracker) Dropped() uint64 { return t.dropped }

// SetLocal sets the requests that this gateway has in flight and its failed attempts at each member.
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
	// A failure count that has only decayed needn't be reported at once.
	reported := func(x, y failureCount) bool { return x.hash == y.hash && x.failed <= y.failed }
	t.changed = t.changed || !slices.Equal(local.inFlight, t.local.inFlight) ||
		!slices.EqualFunc(local.failures, t.local.failures, reported)
	t.local = local
}

// NextReport returns the report that is due now and the neighbors to which to send it. It returns nil if nothing has
// changed and no repetition is due.
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

// Receive handles a neighbor's report. It ignores a report that is older than the neighbor's last one, and drops a
// report that is invalid or not from a neighbor.
func (t *Tracker) Receive(now Time, from int, datagram []byte) {
	if !isReport(datagram) || !slices.Contains(t.neighbors, from) {
		t.dropped++
		return
	}
	last, seq := t.reports[from], reportSeq(datagram)
	if last != nil && int16(seq-last.seq) <= 0 && now-last.receivedAt < reportTTL {
		return // reordered; once the last report has expired, a lower number is that of a new process
	}
	r := decodeReport(datagram)
	r.receivedAt = now
	t.reports[from] = r
}

// Loads returns for each member the estimated number of requests that the other gateways have in flight there. For
// members in the subset it is the number that the neighbors report; other members are assumed to be busier than the
// subset's mean (see outsidePenalty). The estimate is increased for members at which attempts of this gateway or of a
// neighbor fail (see failurePenalty).
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

// Package inflight decides what a gateway makes of its neighbours' load on the pool members. Of many gateways each
// prefers a window of the members that only its neighbours prefer too, and those tell each other how many attempts they
// have out there: between them they know most of what such a member is at work on, where each alone would know an
// eightieth. They also tell each other where attempts failed. It does no input or output and reads no clock; it must never
// make a member usable or keep one from being used, only say how busy it is.
package inflight

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is the decision module's clock reading.
type Time = policy.Time

// A datagram is its kind, form, a count that rises with each, how many failing members it names, each with the attempts
// that failed and were tried in steps, and a name of two bytes for each attempt out.
const (
	Kind            = 0x74 // no message of the decision module or another subsystem begins so
	formatVersion   = 2
	headerSize      = 5
	hashSize        = 2
	failureSize     = hashSize + 2
	stepsPerAttempt = 8 // of an attempt
	maxFailures     = 12
	maxDatagramSize = 256
)

const (
	subsetMargin    = 1           // places more that a window reaches than its neighbours' words do
	outsidePenalty  = 0.3         // by such a share a member outside the window must look better to be taken
	reportTTL       = time.Second // a neighbour's word counts so long
	intakeRatio     = 0.5         // of a gateway's intake that all its neighbours' words may use
	minInterval     = time.Second / 30
	refreshInterval = reportTTL / 3 // a word that says the same is told again

	// What failures make of a member: as much busier as if all of its attempts' share that fails, times so many, were out
	// there. Doubt stands for attempts that didn't fail: one failure alone is little.
	failurePenalty = 20.0
	failurePrior   = 2.0
)

// Board is one gateway's picture. It is not safe for concurrent use.
type Tracker struct {
	self, gateways int
	neighbors      []int
	interval       time.Duration
	members        []member
	reports        map[int]*report
	local          report
	lastReportAt   Time
	changed        bool
	seq            uint16
	dropped        uint64
}

type member struct {
	id        policy.ServerID
	hash      uint16
	ambiguous bool // its name is another's as well: nothing told is believed of it
	inSubset  bool
}

// word is what a gateway says.
type report struct {
	seq        uint16
	receivedAt Time
	inFlight   []uint16
	failures   []failureCount
}

// fails are attempts at a member that failed and were tried, in steps.
type failureCount struct {
	hash             uint16
	failed, attempts uint8
}

// New gives a board, nil where the fleet is so small that all hear all and the window would be the whole pool.
func New(me, gateways int, intake float64) *Tracker {
	near := policy.NearbyGateways(me, gateways)
	if len(near) >= gateways-1 {
		return nil
	}
	b := &Tracker{self: me, gateways: gateways, neighbors: near, interval: minInterval, reports: map[int]*report{}}
	if intake > 0 {
		b.interval = max(b.interval, time.Duration(float64(len(b.neighbors))/(intakeRatio*intake)*float64(time.Second)))
	}
	return b
}

// Seq is the count of the word told last, for Resume.
func (b *Tracker) Seq() uint16 { return b.seq }

// Resume counts on from where another process of this gateway was: else its first words would seem overtaken.
func (b *Tracker) Resume(seq uint16) { b.seq = seq }

// Every is how often Tell is to be called.
func (b *Tracker) Interval() time.Duration { return b.interval }

// Dropped counts the datagrams that made no sense.
func (b *Tracker) Dropped() uint64 { return b.dropped }

// Member is a listed pool member under the name that every gateway knows it by.
type Member struct {
	ID       policy.ServerID
	Instance string
}

// Members takes the list in. The members stand on a ring in the order of their names' hashes, the gateways on the same
// ring by their numbers; the window are those members that are no more than some places from this gateway.
func (b *Tracker) SetMembers(list []Member) {
	b.members = b.members[:0]
	for _, m := range list {
		b.members = append(b.members, member{id: m.ID, hash: instanceHash(m.Instance)})
	}
	slices.SortFunc(b.members, func(x, y member) int { return int(x.hash) - int(y.hash) })
	reach := float64(len(b.neighbors)/2 + subsetMargin)
	for i := range b.members {
		m := &b.members[i]
		m.ambiguous = i > 0 && b.members[i-1].hash == m.hash || i+1 < len(b.members) && b.members[i+1].hash == m.hash
		apart := math.Abs(float64(i)/float64(len(b.members)) - float64(b.self)/float64(b.gateways))
		m.inSubset = !m.ambiguous && min(apart, 1-apart)*float64(b.gateways) <= reach
	}
}

func instanceHash(instance string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(instance))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// Own takes in what this gateway has out and what failed here, where it is known which member is meant.
func (b *Tracker) SetLocal(own map[policy.ServerID]policy.OwnLoad) {
	var mine report
	for _, m := range b.members {
		o := own[m.id]
		if o.Failures > 0 && !m.ambiguous && len(mine.failures) < maxFailures {
			steps := func(x float64) uint8 { return uint8(math.Min(math.Round(x*stepsPerAttempt), math.MaxUint8)) }
			mine.failures = append(mine.failures, failureCount{m.hash, steps(o.Failures), steps(o.Attempts)})
		}
	}
	for _, m := range b.members {
		for k := 0; k < own[m.id].InFlight && headerSize+failureSize*len(mine.failures)+hashSize*(len(mine.inFlight)+1) <= maxDatagramSize; k++ {
			mine.inFlight = append(mine.inFlight, m.hash)
		}
	}
	told := func(x, y failureCount) bool { return x.hash == y.hash && x.failed <= y.failed } // as it fades it need not be told at once
	b.changed = b.changed || !slices.Equal(mine.inFlight, b.local.inFlight) || !slices.EqualFunc(mine.failures, b.local.failures, told)
	b.local = mine
}

// Tell gives what the neighbours are to be told now, nobody where it is known to them.
func (b *Tracker) NextReport(now Time) (peers []int, m []byte) {
	if !b.changed && (len(b.local.inFlight)+len(b.local.failures) == 0 || now-b.lastReportAt < refreshInterval) {
		return nil, nil
	}
	b.changed, b.lastReportAt = false, now
	b.seq++
	m = append(binary.BigEndian.AppendUint16([]byte{Kind, formatVersion}, b.seq), byte(len(b.local.failures)))
	for _, f := range b.local.failures {
		m = append(binary.BigEndian.AppendUint16(m, f.hash), f.failed, f.attempts)
	}
	for _, name := range b.local.inFlight {
		m = binary.BigEndian.AppendUint16(m, name)
	}
	return b.neighbors, m
}

// Take takes a neighbour's datagram in. One that is odd, late or of somebody else is dropped whole.
func (b *Tracker) Receive(now Time, from int, m []byte) {
	if len(m) < headerSize || len(m) > maxDatagramSize || len(m) < headerSize+failureSize*int(m[4]) || (len(m)-headerSize)%hashSize != 0 || m[0] != Kind ||
		m[1] != formatVersion || m[4] > maxFailures || !slices.Contains(b.neighbors, from) {
		b.dropped++
		return
	}
	seq := binary.BigEndian.Uint16(m[2:])
	w := b.reports[from]
	if w != nil && int16(seq-w.seq) <= 0 && now-w.receivedAt < reportTTL {
		return // overtaken; after a silence it is another life
	}
	w = &report{seq: seq, receivedAt: now}
	n := int(m[4])
	for m = m[headerSize:]; n > 0; n, m = n-1, m[failureSize:] {
		w.failures = append(w.failures, failureCount{binary.BigEndian.Uint16(m), m[2], m[3]})
	}
	for ; len(m) > 0; m = m[hashSize:] {
		w.inFlight = append(w.inFlight, binary.BigEndian.Uint16(m))
	}
	b.reports[from] = w
}

// Loads gives for each member what others are taken to have out there. In the window it is what the neighbours say; of
// the rest nothing is known, so they are taken to be as busy as those in the mean and somewhat more. One where attempts
// failed, here or at a neighbour, is taken to be as much busier.
func (b *Tracker) Loads(now Time) []policy.Load {
	out, failed, tried := map[uint16]int{}, map[uint16]float64{}, map[uint16]float64{}
	add := func(list []failureCount) {
		for _, f := range list {
			failed[f.hash], tried[f.hash] = failed[f.hash]+float64(f.failed)/stepsPerAttempt, tried[f.hash]+float64(f.attempts)/stepsPerAttempt
		}
	}
	add(b.local.failures)
	for from, w := range b.reports {
		if now-w.receivedAt > reportTTL {
			delete(b.reports, from)
			continue
		}
		for _, name := range w.inFlight {
			out[name]++
		}
		add(w.failures)
	}
	sum, n := 0, 0
	for _, m := range b.members {
		if m.inSubset {
			sum, n = sum+out[m.hash], n+1
		}
	}
	mean := float64(sum) / float64(max(n, 1))
	loads := make([]policy.Load, len(b.members))
	for i, m := range b.members {
		loads[i] = policy.Load{ID: m.id, Attempts: mean + outsidePenalty*(1+mean)}
		if m.inSubset {
			loads[i].Attempts = float64(out[m.hash])
		}
		if f := failed[m.hash]; f > 0 && !m.ambiguous {
			loads[i].Attempts += failurePenalty * f / (math.Max(f, tried[m.hash]) + failurePrior)
		}
	}
	return loads
}

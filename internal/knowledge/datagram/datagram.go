// Package datagram carries what a gateway knows of pool members to one that has just started, in the small datagrams
// that the platform allows between gateways: the new one asks a few times, and each peer answers with what fits. It
// must never send unasked, more than a datagram in answer to one, or let an odd one do more than be dropped.
package datagram

import (
	"cmp"
	"context"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/knowledge"
	"sprucelane.example/sprucelane/internal/knowledge/helper"
	"sprucelane.example/sprucelane/internal/knowledge/pipe"
)

// A datagram begins with its kind, which no message of the decision module begins with, and the form that it is in. A
// hello holds nothing else. A picture goes on with how long the teller has been deaf and blind, and a record for each
// member, the worst first.
const (
	kindRequest     = 0x70
	kindSnapshot    = 0x71
	formatVersion   = 1
	headerSize      = 4 // kind, form, deaf, blind
	recordSize      = 9 // name in 4 bytes, stalled, lost, pace, room, answered
	maxDatagramSize = 256
)

// Durations are told in a byte on a scale of eighths of a doubling from 10 ms, figures likewise from 1/16.
const (
	stepsPerDoubling = 8
	minDuration      = 10 * time.Millisecond
	minNumber        = 1.0 / 16
	never            = 255
)

func encodeLog(x float64) byte {
	if !(x >= 1) {
		return 0
	}
	return byte(math.Min(never-1, 1+math.Round(stepsPerDoubling*math.Log2(x))))
}

func decodeLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1) / stepsPerDoubling)
}

func encodeDuration(d time.Duration) byte { return encodeLog(float64(d) / float64(minDuration)) }
func decodeDuration(b byte) time.Duration { return time.Duration(decodeLog(b) * float64(minDuration)) }

// Is tells whether a datagram is of this package.
func IsMessage(m []byte) bool { return len(m) >= 2 && (m[0] == kindRequest || m[0] == kindSnapshot) }

// nameOf is how a life is named in a datagram. Of two that share a name neither is told or heard.
func incarnationHash(l knowledge.Life) uint32 {
	h := fnv.New32a()
	h.Write([]byte(l.Instance))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(l.StartedMs)))
	return h.Sum32()
}

// Pack words what a gateway has seen, as far as it fits: members that stall first, then those it knows best.
func Encode(state pipe.State) []byte {
	m := append(make([]byte, 0, maxDatagramSize), kindSnapshot, formatVersion, encodeDuration(state.Deaf), encodeDuration(state.Blind))
	list := slices.DeleteFunc(slices.Clone(state.Own), func(s knowledge.Observation) bool { return s.Lost == 0 && s.Answered < 0 })
	slices.SortStableFunc(list, func(x, y knowledge.Observation) int {
		return cmp.Or(cmp.Compare(y.Lost, x.Lost), cmp.Compare(y.Answers, x.Answers))
	})
	for _, s := range list[:min(len(list), (maxDatagramSize-headerSize)/recordSize)] {
		m = binary.BigEndian.AppendUint32(m, incarnationHash(s.Life))
		answered := byte(never)
		if s.Answered >= 0 {
			answered = encodeDuration(s.Answered)
		}
		m = append(m, encodeDuration(s.Stalled), byte(min(s.Lost, 255)), encodeLog(s.Pace/minNumber), encodeLog(s.Room/minNumber), answered)
	}
	return m
}

// Unpack reads a picture of a peer about members that are listed here. What it names otherwise is left out; ok tells
// whether it is one at all.
func Decode(m []byte, from knowledge.Observer, seq uint64, listed []knowledge.Observation) (facts []knowledge.Fact, ok bool) {
	if len(m) < headerSize || len(m) > maxDatagramSize || m[0] != kindSnapshot || m[1] != formatVersion || (len(m)-headerSize)%recordSize != 0 {
		return nil, false
	}
	names := make(map[uint32]*knowledge.Life, len(listed))
	for i := range listed {
		name := incarnationHash(listed[i].Life)
		if _, twice := names[name]; twice {
			names[name] = nil
		} else {
			names[name] = &listed[i].Life
		}
	}
	deaf, blind := decodeDuration(m[2]), decodeDuration(m[3])
	for m = m[headerSize:]; len(m) > 0; m = m[recordSize:] {
		life := names[binary.BigEndian.Uint32(m)]
		if life == nil {
			continue
		}
		f := knowledge.Fact{Life: *life, Observer: from, Seq: seq, Stalled: decodeDuration(m[4]), Lost: int(m[5]),
			Pace: decodeLog(m[6]) * minNumber, Answers: 8, Room: decodeLog(m[7]) * minNumber, Warmth: 1, Answered: -1, Deaf: deaf, Blind: blind}
		if m[8] != never {
			f.Answered = decodeDuration(m[8])
		}
		facts = append(facts, f)
	}
	return facts, true
}

// asks are the moments after its start at which a gateway asks: the first answers may be lost, and stalls are news
// until the gateway has seen the members itself.
var requestTimes = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
	3 * time.Second}

const (
	learningPeriod    = 6 * time.Second
	updateInterval    = 100 * time.Millisecond
	minAnswerInterval = 80 * time.Millisecond // a peer is answered this often at most
	minAnswerAge      = 10 * time.Second      // a gateway younger than this has little to tell
)

// Exchange is one gateway's part.
type Exchange struct {
	gateway   helper.PriorConsumer
	send      func(peer int, message []byte)
	now       func() knowledge.Time
	startedAt knowledge.Time
	gateways  int
	self      int

	mu         sync.Mutex
	table      *knowledge.Table
	listed     []knowledge.Observation
	seq        uint64
	answeredAt []knowledge.Time // when each peer was last answered
	learning   bool
	counts     Counts
}

// Counts tells what came and went.
type Counts struct{ Requests, Answers, Received, Malformed, Priors uint64 }

// New gives gateway number me of so many its part.
func New(gateway helper.PriorConsumer, tell func(int, []byte), now func() knowledge.Time, me, gateways int, roomMost float64) *Exchange {
	return &Exchange{gateway: gateway, send: tell, now: now, startedAt: now(), gateways: gateways, self: me, learning: true,
		answeredAt: make([]knowledge.Time, gateways),
		table:      knowledge.New(knowledge.Options{Self: knowledge.Observer{Name: strconv.Itoa(me), Birth: 1}, MaxRoom: roomMost})}
}

// Run learns for the first seconds of a gateway's life.
func (e *Exchange) Run(ctx context.Context) {
	beat := time.NewTicker(updateInterval)
	defer beat.Stop()
	left := requestTimes
	for age := time.Duration(0); age < learningPeriod; age = e.now() - e.startedAt {
		if len(left) > 0 && age >= left[0] {
			left = left[1:]
			for p := range e.gateways {
				if p != e.self {
					e.send(p, []byte{kindRequest, formatVersion})
				}
			}
			e.mu.Lock()
			e.counts.Requests++
			e.mu.Unlock()
		}
		e.updatePriors()
		select {
		case <-beat.C:
		case <-ctx.Done():
			return
		}
	}
	e.mu.Lock()
	e.learning = false
	e.mu.Unlock()
}

// learn hands the module the priors that follow from what was heard.
func (e *Exchange) updatePriors() {
	state, at := e.gateway.Observe()
	now := e.now()
	e.mu.Lock()
	e.listed = state.Own
	priors := e.table.Update(now, state.Own, state.Deaf, state.Blind)
	e.counts.Priors += uint64(len(priors))
	e.mu.Unlock()
	e.gateway.ApplyPriors(priors, at)
}

// Take takes a peer's datagram in.
func (e *Exchange) Receive(from int, m []byte) {
	if from < 0 || from >= e.gateways || from == e.self || !IsMessage(m) {
		return
	}
	now := e.now()
	e.mu.Lock()
	learning, gap := e.learning, now-e.answeredAt[from]
	switch {
	case m[0] == kindRequest && m[1] == formatVersion && now-e.startedAt >= minAnswerAge && (e.answeredAt[from] == 0 || gap >= minAnswerInterval):
		e.answeredAt[from] = now
		e.counts.Answers++
		e.mu.Unlock()
		state, _ := e.gateway.Observe()
		e.send(from, Encode(state))
		return
	case m[0] == kindSnapshot && learning:
		e.seq++
		facts, ok := Decode(m, knowledge.Observer{Name: strconv.Itoa(from), Birth: 1}, e.seq, e.listed)
		if !ok {
			e.counts.Malformed++
			break
		}
		e.counts.Received++
		e.table.Receive(now, facts)
		e.mu.Unlock()
		e.updatePriors()
		return
	}
	e.mu.Unlock()
}

// Counters tells what came and went so far.
func (e *Exchange) Counters() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

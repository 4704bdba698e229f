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
	kindHello   = 0x70
	kindPicture = 0x71
	form        = 1
	head        = 4 // kind, form, deaf, blind
	record      = 9 // name in 4 bytes, stalled, lost, pace, room, answered
	mostBytes   = 256
)

// Durations are told in a byte on a scale of eighths of a doubling from 10 ms, figures likewise from 1/16.
const (
	steps     = 8
	leastTime = 10 * time.Millisecond
	leastFig  = 1.0 / 16
	never     = 255
)

func scale(x float64) byte {
	if !(x >= 1) {
		return 0
	}
	return byte(math.Min(never-1, 1+math.Round(steps*math.Log2(x))))
}

func unscale(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1) / steps)
}

func packTime(d time.Duration) byte   { return scale(float64(d) / float64(leastTime)) }
func unpackTime(b byte) time.Duration { return time.Duration(unscale(b) * float64(leastTime)) }

// Is tells whether a datagram is of this package.
func Is(m []byte) bool { return len(m) >= 2 && (m[0] == kindHello || m[0] == kindPicture) }

// nameOf is how a life is named in a datagram. Of two that share a name neither is told or heard.
func nameOf(l knowledge.Life) uint32 {
	h := fnv.New32a()
	h.Write([]byte(l.Instance))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(l.StartedMs)))
	return h.Sum32()
}

// Pack words what a gateway has seen, as far as it fits: members that stall first, then those it knows best.
func Pack(state pipe.State) []byte {
	m := append(make([]byte, 0, mostBytes), kindPicture, form, packTime(state.Deaf), packTime(state.Blind))
	list := slices.DeleteFunc(slices.Clone(state.Own), func(s knowledge.Sighting) bool { return s.Lost == 0 && s.Answered < 0 })
	slices.SortStableFunc(list, func(x, y knowledge.Sighting) int {
		return cmp.Or(cmp.Compare(y.Lost, x.Lost), cmp.Compare(y.Answers, x.Answers))
	})
	for _, s := range list[:min(len(list), (mostBytes-head)/record)] {
		m = binary.BigEndian.AppendUint32(m, nameOf(s.Life))
		answered := byte(never)
		if s.Answered >= 0 {
			answered = packTime(s.Answered)
		}
		m = append(m, packTime(s.Stalled), byte(min(s.Lost, 255)), scale(s.Pace/leastFig), scale(s.Room/leastFig), answered)
	}
	return m
}

// Unpack reads a picture of a peer about members that are listed here. What it names otherwise is left out; ok tells
// whether it is one at all.
func Unpack(m []byte, from knowledge.Observer, seq uint64, listed []knowledge.Sighting) (facts []knowledge.Fact, ok bool) {
	if len(m) < head || len(m) > mostBytes || m[0] != kindPicture || m[1] != form || (len(m)-head)%record != 0 {
		return nil, false
	}
	names := make(map[uint32]*knowledge.Life, len(listed))
	for i := range listed {
		name := nameOf(listed[i].Life)
		if _, twice := names[name]; twice {
			names[name] = nil
		} else {
			names[name] = &listed[i].Life
		}
	}
	deaf, blind := unpackTime(m[2]), unpackTime(m[3])
	for m = m[head:]; len(m) > 0; m = m[record:] {
		life := names[binary.BigEndian.Uint32(m)]
		if life == nil {
			continue
		}
		f := knowledge.Fact{Life: *life, Observer: from, Seq: seq, Stalled: unpackTime(m[4]), Lost: int(m[5]),
			Pace: unscale(m[6]) * leastFig, Answers: 8, Room: unscale(m[7]) * leastFig, Warmth: 1, Answered: -1, Deaf: deaf, Blind: blind}
		if m[8] != never {
			f.Answered = unpackTime(m[8])
		}
		facts = append(facts, f)
	}
	return facts, true
}

// asks are the moments after its start at which a gateway asks: the first answers may be lost, and stalls are news
// until the gateway has seen the members itself.
var asks = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
	3 * time.Second}

const (
	learnFor   = 6 * time.Second
	cadence    = 100 * time.Millisecond
	answerGap  = 80 * time.Millisecond // a peer is answered this often at most
	wholeAfter = 10 * time.Second      // a gateway younger than this has little to tell
)

// Exchange is one gateway's part.
type Exchange struct {
	gateway helper.Teachable
	tell    func(peer int, message []byte)
	now     func() knowledge.Time
	born    knowledge.Time
	peers   int
	me      int

	mu       sync.Mutex
	book     *knowledge.Book
	listed   []knowledge.Sighting
	seq      uint64
	answered []knowledge.Time // when each peer was last answered
	learning bool
	counts   Counts
}

// Counts tells what came and went.
type Counts struct{ Asked, Answered, Heard, Odd, Priors uint64 }

// New gives gateway number me of so many its part.
func New(gateway helper.Teachable, tell func(int, []byte), now func() knowledge.Time, me, gateways int, roomMost float64) *Exchange {
	return &Exchange{gateway: gateway, tell: tell, now: now, born: now(), peers: gateways, me: me, learning: true,
		answered: make([]knowledge.Time, gateways),
		book:     knowledge.New(knowledge.Options{Me: knowledge.Observer{Name: strconv.Itoa(me), Birth: 1}, RoomMost: roomMost})}
}

// Run learns for the first seconds of a gateway's life.
func (e *Exchange) Run(ctx context.Context) {
	beat := time.NewTicker(cadence)
	defer beat.Stop()
	left := asks
	for age := time.Duration(0); age < learnFor; age = e.now() - e.born {
		if len(left) > 0 && age >= left[0] {
			left = left[1:]
			for p := range e.peers {
				if p != e.me {
					e.tell(p, []byte{kindHello, form})
				}
			}
			e.mu.Lock()
			e.counts.Asked++
			e.mu.Unlock()
		}
		e.learn()
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
func (e *Exchange) learn() {
	state, at := e.gateway.Seen()
	now := e.now()
	e.mu.Lock()
	e.listed = state.Own
	priors := e.book.Update(now, state.Own, state.Deaf, state.Blind)
	e.counts.Priors += uint64(len(priors))
	e.mu.Unlock()
	e.gateway.Teach(priors, at)
}

// Take takes a peer's datagram in.
func (e *Exchange) Take(from int, m []byte) {
	if from < 0 || from >= e.peers || from == e.me || !Is(m) {
		return
	}
	now := e.now()
	e.mu.Lock()
	learning, gap := e.learning, now-e.answered[from]
	switch {
	case m[0] == kindHello && m[1] == form && now-e.born >= wholeAfter && (e.answered[from] == 0 || gap >= answerGap):
		e.answered[from] = now
		e.counts.Answered++
		e.mu.Unlock()
		state, _ := e.gateway.Seen()
		e.tell(from, Pack(state))
		return
	case m[0] == kindPicture && learning:
		e.seq++
		facts, ok := Unpack(m, knowledge.Observer{Name: strconv.Itoa(from), Birth: 1}, e.seq, e.listed)
		if !ok {
			e.counts.Odd++
			break
		}
		e.counts.Heard++
		e.book.Hear(now, facts)
		e.mu.Unlock()
		e.learn()
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

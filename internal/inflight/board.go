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
	Kind      = 0x74 // no message of the decision module or another subsystem begins so
	form      = 2
	head      = 5
	nameBytes = 2
	failBytes = nameBytes + 2
	failSteps = 8 // of an attempt
	mostFails = 12
	mostBytes = 256
)

const (
	windowPart  = 1           // places more that a window reaches than its neighbours' words do
	farther     = 0.3         // by such a share a member outside the window must look better to be taken
	heardFor    = time.Second // a neighbour's word counts so long
	intakeShare = 0.5         // of a gateway's intake that all its neighbours' words may use
	leastEvery  = time.Second / 30
	aliveEvery  = heardFor / 3 // a word that says the same is told again

	// What failures make of a member: as much busier as if all of its attempts' share that fails, times so many, were out
	// there. Doubt stands for attempts that didn't fail: one failure alone is little.
	failWeight = 20.0
	failDoubt  = 2.0
)

// Board is one gateway's picture. It is not safe for concurrent use.
type Board struct {
	me, gateways int
	near         []int
	every        time.Duration
	members      []member
	words        map[int]*word
	mine         word
	told         Time
	changed      bool
	seq          uint16
	dropped      uint64
}

type member struct {
	id     policy.ServerID
	name   uint16
	shared bool // its name is another's as well: nothing told is believed of it
	window bool
}

// word is what a gateway says.
type word struct {
	seq   uint16
	at    Time
	out   []uint16
	fails []fails
}

// fails are attempts at a member that failed and were tried, in steps.
type fails struct {
	name          uint16
	failed, tried uint8
}

// New gives a board, nil where the fleet is so small that all hear all and the window would be the whole pool.
func New(me, gateways int, intake float64) *Board {
	near := policy.NearbyGateways(me, gateways)
	if len(near) >= gateways-1 {
		return nil
	}
	b := &Board{me: me, gateways: gateways, near: near, every: leastEvery, words: map[int]*word{}}
	if intake > 0 {
		b.every = max(b.every, time.Duration(float64(len(b.near))/(intakeShare*intake)*float64(time.Second)))
	}
	return b
}

// Seq is the count of the word told last, for Resume.
func (b *Board) Seq() uint16 { return b.seq }

// Resume counts on from where another process of this gateway was: else its first words would seem overtaken.
func (b *Board) Resume(seq uint16) { b.seq = seq }

// Every is how often Tell is to be called.
func (b *Board) Every() time.Duration { return b.every }

// Dropped counts the datagrams that made no sense.
func (b *Board) Dropped() uint64 { return b.dropped }

// Member is a listed pool member under the name that every gateway knows it by.
type Member struct {
	ID       policy.ServerID
	Instance string
}

// Members takes the list in. The members stand on a ring in the order of their names' hashes, the gateways on the same
// ring by their numbers; the window are those members that are no more than some places from this gateway.
func (b *Board) Members(list []Member) {
	b.members = b.members[:0]
	for _, m := range list {
		b.members = append(b.members, member{id: m.ID, name: nameOf(m.Instance)})
	}
	slices.SortFunc(b.members, func(x, y member) int { return int(x.name) - int(y.name) })
	reach := float64(len(b.near)/2 + windowPart)
	for i := range b.members {
		m := &b.members[i]
		m.shared = i > 0 && b.members[i-1].name == m.name || i+1 < len(b.members) && b.members[i+1].name == m.name
		apart := math.Abs(float64(i)/float64(len(b.members)) - float64(b.me)/float64(b.gateways))
		m.window = !m.shared && min(apart, 1-apart)*float64(b.gateways) <= reach
	}
}

func nameOf(instance string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(instance))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// Own takes in what this gateway has out and what failed here, where it is known which member is meant.
func (b *Board) Own(own map[policy.ServerID]policy.OwnLoad) {
	var mine word
	for _, m := range b.members {
		o := own[m.id]
		if o.Failures > 0 && !m.shared && len(mine.fails) < mostFails {
			steps := func(x float64) uint8 { return uint8(math.Min(math.Round(x*failSteps), math.MaxUint8)) }
			mine.fails = append(mine.fails, fails{m.name, steps(o.Failures), steps(o.Attempts)})
		}
	}
	for _, m := range b.members {
		for k := 0; k < own[m.id].InFlight && head+failBytes*len(mine.fails)+nameBytes*(len(mine.out)+1) <= mostBytes; k++ {
			mine.out = append(mine.out, m.name)
		}
	}
	told := func(x, y fails) bool { return x.name == y.name && x.failed <= y.failed } // as it fades it need not be told at once
	b.changed = b.changed || !slices.Equal(mine.out, b.mine.out) || !slices.EqualFunc(mine.fails, b.mine.fails, told)
	b.mine = mine
}

// Tell gives what the neighbours are to be told now, nobody where it is known to them.
func (b *Board) Tell(now Time) (peers []int, m []byte) {
	if !b.changed && (len(b.mine.out)+len(b.mine.fails) == 0 || now-b.told < aliveEvery) {
		return nil, nil
	}
	b.changed, b.told = false, now
	b.seq++
	m = append(binary.BigEndian.AppendUint16([]byte{Kind, form}, b.seq), byte(len(b.mine.fails)))
	for _, f := range b.mine.fails {
		m = append(binary.BigEndian.AppendUint16(m, f.name), f.failed, f.tried)
	}
	for _, name := range b.mine.out {
		m = binary.BigEndian.AppendUint16(m, name)
	}
	return b.near, m
}

// Take takes a neighbour's datagram in. One that is odd, late or of somebody else is dropped whole.
func (b *Board) Take(now Time, from int, m []byte) {
	if len(m) < head || len(m) > mostBytes || len(m) < head+failBytes*int(m[4]) || (len(m)-head)%nameBytes != 0 || m[0] != Kind ||
		m[1] != form || m[4] > mostFails || !slices.Contains(b.near, from) {
		b.dropped++
		return
	}
	seq := binary.BigEndian.Uint16(m[2:])
	w := b.words[from]
	if w != nil && int16(seq-w.seq) <= 0 && now-w.at < heardFor {
		return // overtaken; after a silence it is another life
	}
	w = &word{seq: seq, at: now}
	n := int(m[4])
	for m = m[head:]; n > 0; n, m = n-1, m[failBytes:] {
		w.fails = append(w.fails, fails{binary.BigEndian.Uint16(m), m[2], m[3]})
	}
	for ; len(m) > 0; m = m[nameBytes:] {
		w.out = append(w.out, binary.BigEndian.Uint16(m))
	}
	b.words[from] = w
}

// Loads gives for each member what others are taken to have out there. In the window it is what the neighbours say; of
// the rest nothing is known, so they are taken to be as busy as those in the mean and somewhat more. One where attempts
// failed, here or at a neighbour, is taken to be as much busier.
func (b *Board) Loads(now Time) []policy.Load {
	out, failed, tried := map[uint16]int{}, map[uint16]float64{}, map[uint16]float64{}
	add := func(list []fails) {
		for _, f := range list {
			failed[f.name], tried[f.name] = failed[f.name]+float64(f.failed)/failSteps, tried[f.name]+float64(f.tried)/failSteps
		}
	}
	add(b.mine.fails)
	for from, w := range b.words {
		if now-w.at > heardFor {
			delete(b.words, from)
			continue
		}
		for _, name := range w.out {
			out[name]++
		}
		add(w.fails)
	}
	sum, n := 0, 0
	for _, m := range b.members {
		if m.window {
			sum, n = sum+out[m.name], n+1
		}
	}
	mean := float64(sum) / float64(max(n, 1))
	loads := make([]policy.Load, len(b.members))
	for i, m := range b.members {
		loads[i] = policy.Load{ID: m.id, Attempts: mean + farther*(1+mean)}
		if m.window {
			loads[i].Attempts = float64(out[m.name])
		}
		if f := failed[m.name]; f > 0 && !m.shared {
			loads[i].Attempts += failWeight * f / (math.Max(f, tried[m.name]) + failDoubt)
		}
	}
	return loads
}

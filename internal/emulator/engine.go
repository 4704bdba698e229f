// Package emulator is a model in virtual time of what gateways balance: members, links, discovery, clients and the
// gateways' own decision modules, which run in it unchanged. The same scenario gives the same run to the byte on every
// machine. It must never read a clock, open a socket or start a goroutine inside a run.
package emulator

import (
	"container/heap"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Time is a reading of the run's one clock.
type Time = time.Duration

// Origin is what the clock says when a run begins: not 0, which stands for long ago in what modules are told.
const Origin = time.Hour

// Engine is one clock and a heap of events. Events of one moment happen in the order in which they were set.
type Engine struct {
	now    Time
	seed   uint64
	serial uint64
	events events
}

// NewEngine gives an engine at the Origin.
func NewEngine(seed uint64) *Engine { return &Engine{now: Origin, seed: seed} }

// Now is the clock's reading.
func (e *Engine) Now() Time { return e.now }

// After lets something happen so long from now; at once, after what happens now, where that is not above 0.
func (e *Engine) After(d time.Duration, do func()) {
	e.serial++
	heap.Push(&e.events, event{e.now + max(d, 0), e.serial, do})
}

// Run lets all happen that is due before a moment, and stands there.
func (e *Engine) Run(until Time) {
	for len(e.events) > 0 && e.events[0].at < until {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.do()
	}
	e.now = until
}

// Stream gives the random numbers of one part. A part that draws more or less leaves the others' as they are.
func (e *Engine) Stream(part string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, part)
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

type event struct {
	at     Time
	serial uint64
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

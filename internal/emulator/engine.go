package emulator

import (
	"container/heap"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Time is a reading of a run's clock.
type Time = time.Duration

// Origin is the clock's reading when a run begins. It isn't 0, because 0 means "long ago" in the start times that are
// passed to package policy.
const Origin = time.Hour

// Engine is a discrete-event simulator: a clock and a heap of events. Events that are due at the same time run in the
// order in which they were scheduled.
type Engine struct {
	now    Time
	seed   uint64
	serial uint64
	events events
}

// NewEngine returns an engine whose clock reads Origin.
func NewEngine(seed uint64) *Engine { return &Engine{now: Origin, seed: seed} }

// Now returns the clock's reading.
func (e *Engine) Now() Time { return e.now }

// After schedules do to run in d. Where d is 0 or negative, do runs at the present time, after the events that are
// already due.
func (e *Engine) After(d time.Duration, do func()) {
	e.serial++
	heap.Push(&e.events, event{e.now + max(d, 0), e.serial, do})
}

// Run runs the events that are due before until, and sets the clock to until.
func (e *Engine) Run(until Time) {
	for len(e.events) > 0 && e.events[0].at < until {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.do()
	}
	e.now = until
}

// Stream returns the random number stream of one part of the model, by the part's name. The streams are independent: a
// change in the number of draws of one part doesn't change the draws of the others.
func (e *Engine) Stream(part string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, part) // a hash.Hash returns no error
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

// event is a scheduled call. serial orders events that are due at the same time.
type event struct {
	at     Time
	serial uint64
	do     func()
}

// events is a heap (container/heap) ordered by due time, then by serial.
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

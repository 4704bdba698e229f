package quota

import (
	"container/heap"
	"time"
)

// event is a function that is scheduled for a time. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at      time.Duration
	ordinal int
	run     func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].ordinal < h[j].ordinal
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// schedule schedules a function for a time, or for now if that time has passed.
func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.ordinal++
	heap.Push(&sim.events, event{max(at, sim.now), sim.ordinal, run})
}

// runUntil runs all events up to and including a time.
func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// every runs a function periodically.
func (sim *simulation) every(period time.Duration, run func()) {
	sim.schedule(sim.now+period, func() {
		run()
		sim.every(period, run)
	})
}

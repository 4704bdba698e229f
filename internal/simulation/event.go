package simulation

import "time"

// Event is a function that runs at a virtual time.
type Event struct {
	at          time.Duration // since epoch
	sequence    uint64        // in the order of scheduling
	run         func()
	machine     *machine // nil for an event of the simulation itself
	incarnation uint64   // of the process that set the timer; unused for messages
	timer       bool     // set for timers, which end with the process that set them; messages don't
	canceled    bool
}

// Cancel keeps an event from running. It has no effect on an event that has already run.
func (e *Event) Cancel() {
	e.canceled = true
}

// eventQueue is a heap of events with the earliest first. It implements heap.Interface.
type eventQueue []*Event

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(event any) { *q = append(*q, event.(*Event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return event
}

package quota

import (
	"container/heap"
	"time"
)

type event struct {
	at      time.Duration
	ordinal int
	run     func()
}

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

func (w *world) at(at time.Duration, run func()) {
	w.ordinal++
	heap.Push(&w.events, event{max(at, w.now), w.ordinal, run})
}

func (w *world) play(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = until
}

// every runs something again and again.
func (w *world) every(period time.Duration, run func()) {
	w.at(w.now+period, func() {
		run()
		w.every(period, run)
	})
}

// steadyClock is a machine's: it begins anywhere and gains or loses a little.
type steadyClock struct {
	world  *world
	offset time.Duration
	pace   float64
}

// clockDrift is how much a clock gains or loses at most: two that run apart by it part by 30 ms over a lease.
const clockDrift = 0.005

// clockRounding is what reading a clock and turning it back into the world's time adds at most.
const clockRounding = 2 * time.Microsecond

func (w *world) newClock() steadyClock {
	return steadyClock{w, time.Hour + w.spread(time.Hour), 1 + clockDrift*(2*w.random.Float64()-1)}
}

func (c *steadyClock) read() time.Duration {
	return c.offset + time.Duration(float64(c.world.now)*c.pace)
}

// when gives the world's time of a clock's moment, rounded up.
func (c *steadyClock) when(moment time.Duration) time.Duration {
	return time.Duration(float64(moment-c.offset)/c.pace) + time.Nanosecond
}

// cut is a machine's part from the others, for some time.
type cut struct {
	until time.Duration
	way   cutWay
}

type cutWay int

const (
	bothWays cutWay = iota
	outward         // what it sends is lost
	inward          // what it is sent is lost
)

func (w *world) newCut(longest time.Duration) cut {
	return cut{w.now + w.spread(longest), cutWay(w.random.IntN(3))}
}

// ends tells until when a machine's messages in a direction don't pass.
func (c *cut) ends(way cutWay) time.Duration {
	if c.way == bothWays || c.way == way {
		return c.until
	}
	return 0
}

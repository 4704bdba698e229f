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

func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.ordinal++
	heap.Push(&sim.events, event{max(at, sim.now), sim.ordinal, run})
}

func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// every runs something again and again.
func (sim *simulation) every(period time.Duration, run func()) {
	sim.schedule(sim.now+period, func() {
		run()
		sim.every(period, run)
	})
}

// steadyClock is a machine's: it begins anywhere and gains or loses a little.
type driftingClock struct {
	sim    *simulation
	offset time.Duration
	rate   float64
}

// clockDrift is how much a clock gains or loses at most: two that run apart by it part by 30 ms over a lease.
const maxClockDrift = 0.005

// clockRounding is what reading a clock and turning it back into the world's time adds at most.
const clockRounding = 2 * time.Microsecond

func (sim *simulation) newClock() driftingClock {
	return driftingClock{sim, time.Hour + sim.randomDuration(time.Hour), 1 + maxClockDrift*(2*sim.random.Float64()-1)}
}

func (c *driftingClock) read() time.Duration {
	return c.offset + time.Duration(float64(c.sim.now)*c.rate)
}

// when gives the world's time of a clock's moment, rounded up.
func (c *driftingClock) simTime(moment time.Duration) time.Duration {
	return time.Duration(float64(moment-c.offset)/c.rate) + time.Nanosecond
}

// cut is a machine's part from the others, for some time.
type partition struct {
	until     time.Duration
	direction direction
}

type direction int

const (
	bothDirections direction = iota
	outbound                 // what it sends is lost
	inbound                  // what it is sent is lost
)

func (sim *simulation) newPartition(longest time.Duration) partition {
	return partition{sim.now + sim.randomDuration(longest), direction(sim.random.IntN(3))}
}

// ends tells until when a machine's messages in a direction don't pass.
func (c *partition) endFor(way direction) time.Duration {
	if c.direction == bothDirections || c.direction == way {
		return c.until
	}
	return 0
}

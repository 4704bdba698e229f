package scheduler

import "time"

// budgetInterval is about the time until what one store takes shows in the loads that others see.
const budgetInterval = 50 * time.Millisecond

// slotBudget holds a store to its share of the free slots: all stores see the same ones, and learn only
// from the servers' next reports what the others have taken. Without it, all would take all of them at
// once.
type slotBudget struct {
	start time.Duration // of the present interval
	slots float64       // that this store may take in it
	used  int           // of them
}

// tryTake takes one slot. If the interval is over, it begins one with a share, which is one slot at least.
// It returns false if all slots of the present interval are used.
func (b *slotBudget) tryTake(now time.Duration, share float64) bool {
	if b.used == 0 || now-b.start >= budgetInterval {
		*b = slotBudget{start: now, slots: max(share, 1)}
	}
	if b.exhausted(now) {
		return false
	}
	b.used++
	return true
}

// exhausted reports whether the present interval isn't over and all its slots are used.
func (b *slotBudget) exhausted(now time.Duration) bool {
	return b.used > 0 && now-b.start < budgetInterval && float64(b.used)+1 > b.slots
}

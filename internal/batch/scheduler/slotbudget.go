package scheduler

import "time"

// budgetInterval is roughly how long it takes until slots taken by one store show in the loads that the
// other stores see.
const budgetInterval = 50 * time.Millisecond

// slotBudget limits a store to its share of the free slots. All stores see the same free slots, and learn
// only from the servers' next reports which ones the others have taken. Without the budget, every store would
// take all of them at once.
type slotBudget struct {
	start time.Duration // of the current interval
	slots float64       // that this store may take in the interval
	used  int           // slots taken in the interval
}

// tryTake takes one slot. If the current interval is over, it first begins a new one with a budget of share
// slots, but at least one. It returns false if all slots of the current interval are used.
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

// exhausted reports whether all slots of the current interval are used. It is false once the interval is over.
func (b *slotBudget) exhausted(now time.Duration) bool {
	return b.used > 0 && now-b.start < budgetInterval && float64(b.used)+1 > b.slots
}

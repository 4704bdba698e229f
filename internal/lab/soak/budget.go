package soak

import "sync"

// budget counts the disks that were wiped since the system had recovered from the last loss.
type budget struct {
	most int

	mu    sync.Mutex
	lost  int
	total int
}

func newBudget(most int) *budget { return &budget{most: most} }

// take gives how many disks, up to a wish, may be wiped now, and counts them as wiped.
func (b *budget) take(wish int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := max(0, min(wish, b.most-b.lost))
	b.lost += granted
	b.total += granted
	return granted
}

// recovered notes that all is whole again.
func (b *budget) recovered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost = 0
}

// all counts the disks that were wiped in the run.
func (b *budget) all() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

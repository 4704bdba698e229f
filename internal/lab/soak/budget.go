package soak

import "sync"

// budget counts the disks that were wiped since the system had recovered from the last loss.
type diskBudget struct {
	limit int

	mu          sync.Mutex
	outstanding int
	total       int
}

func newDiskBudget(most int) *diskBudget { return &diskBudget{limit: most} }

// take gives how many disks, up to a wish, may be wiped now, and counts them as wiped.
func (b *diskBudget) acquire(wish int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := max(0, min(wish, b.limit-b.outstanding))
	b.outstanding += granted
	b.total += granted
	return granted
}

// recovered notes that all is whole again.
func (b *diskBudget) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding = 0
}

// all counts the disks that were wiped in the run.
func (b *diskBudget) wiped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

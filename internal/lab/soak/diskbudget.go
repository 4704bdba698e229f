package soak

import "sync"

// diskBudget bounds the disks that are lost between two recoveries to what the system is configured to tolerate.
type diskBudget struct {
	limit int

	mu          sync.Mutex // guards the fields below; 0 <= outstanding <= limit
	outstanding int        // disks that were wiped since the last recovery
	total       int        // disks that were wiped in the run
}

func newDiskBudget(limit int) *diskBudget { return &diskBudget{limit: limit} }

// acquire returns how many disks, up to wanted, may be wiped now, and counts them as wiped.
func (b *diskBudget) acquire(wanted int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := max(0, min(wanted, b.limit-b.outstanding))
	b.outstanding += granted
	b.total += granted
	return granted
}

// reset is called once the system has recovered, so that as many disks may be lost again.
func (b *diskBudget) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding = 0
}

// wiped returns the number of disks that were wiped in the run.
func (b *diskBudget) wiped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

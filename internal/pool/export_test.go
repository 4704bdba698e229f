package pool

// Plant plants a fault for the tests outside the package.
func (p *Pool) Plant(set func(*Bugs)) { set(&p.bugs) }

// Bugs are the faults that can be planted.
type Bugs = bugs

// The faults.
var (
	NoRecheck    = func(b *Bugs) { b.noRecheck = true }
	ReuseStirred = func(b *Bugs) { b.reuseStirred = true }
	ReuseUnsent  = func(b *Bugs) { b.reuseUnsent = true }
	PartNotSent  = func(b *Bugs) { b.partNotSent = true }
	TornHead     = func(b *Bugs) { b.tornHead = true }
)

package proxy

// Plant plants a fault for the tests outside the package.
func (p *Proxy) Plant(set func(*Bugs)) { set(&p.bugs) }

// Bugs are the faults that can be planted.
type Bugs = bugs

// The faults.
var (
	AnyID         = func(b *Bugs) { b.anyID = true }
	RepeatAll     = func(b *Bugs) { b.repeatAll = true }
	CutIsWhole    = func(b *Bugs) { b.cutIsWhole = true }
	NoLastEvent   = func(b *Bugs) { b.noLastEvent = true }
	AlwaysRefuses = func(b *Bugs) { b.alwaysRefuses = true }
)

package pool

// Plant plants a fault for the tests outside the package.
func (p *Pool) InjectBug(set func(*Bugs)) { set(&p.injected) }

// Bugs are the faults that can be planted.
type Bugs = injectedBugs

// The faults.
var (
	SkipRecheck            = func(b *Bugs) { b.skipRecheck = true }
	ReuseUnread            = func(b *Bugs) { b.reuseUnread = true }
	ReuseIncompleteRequest = func(b *Bugs) { b.reuseIncompleteRequest = true }
	PartialIsNotSent       = func(b *Bugs) { b.partialIsNotSent = true }
	AcceptTornHead         = func(b *Bugs) { b.acceptTornHead = true }
)

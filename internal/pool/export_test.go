package pool

// InjectBug enables a bug, for tests outside the package.
func (p *Pool) InjectBug(set func(*Bugs)) { set(&p.injected) }

// Bugs are the bugs that can be injected.
type Bugs = injectedBugs

// Arguments of InjectBug, one for each bug.
var (
	SkipRecheck            = func(b *Bugs) { b.skipRecheck = true }
	ReuseUnread            = func(b *Bugs) { b.reuseUnread = true }
	ReuseIncompleteRequest = func(b *Bugs) { b.reuseIncompleteRequest = true }
	PartialIsNotSent       = func(b *Bugs) { b.partialIsNotSent = true }
	AcceptTornHead         = func(b *Bugs) { b.acceptTornHead = true }
)

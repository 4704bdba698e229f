package pool

// InjectBug switches a bug on for tests outside the package.
func (p *Pool) InjectBug(set func(*Bugs)) { set(&p.injected) }

// Bugs are those that can be injected.
type Bugs = injectedBugs

// Bugs to inject.
var (
	SkipRecheck            = func(b *Bugs) { b.skipRecheck = true }
	ReuseUnread            = func(b *Bugs) { b.reuseUnread = true }
	ReuseIncompleteRequest = func(b *Bugs) { b.reuseIncompleteRequest = true }
	PartialIsNotSent       = func(b *Bugs) { b.partialIsNotSent = true }
	AcceptTornHead         = func(b *Bugs) { b.acceptTornHead = true }
)

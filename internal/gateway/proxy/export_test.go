package proxy

// InjectBug enables a bug, for tests outside the package.
func (p *Proxy) InjectBug(set func(*Bugs)) { set(&p.bugs) }

// Bugs are the bugs that can be injected.
type Bugs = injectedBugs

// Arguments of InjectBug.
var (
	AcceptAnyID          = func(b *Bugs) { b.acceptAnyID = true }
	RetryNonIdempotent   = func(b *Bugs) { b.retryNonIdempotent = true }
	TruncatedIsComplete  = func(b *Bugs) { b.truncatedIsComplete = true }
	OmitLastEventID      = func(b *Bugs) { b.omitLastEventID = true }
	AlwaysPromisesNotRun = func(b *Bugs) { b.alwaysPromisesNotRun = true }
)

package proxy

// InjectBug switches a bug on for tests outside the package.
func (p *Proxy) InjectBug(set func(*Bugs)) { set(&p.bugs) }

// Bugs are those that can be injected.
type Bugs = injectedBugs

// Bugs to inject.
var (
	AcceptAnyID          = func(b *Bugs) { b.acceptAnyID = true }
	RetryNonIdempotent   = func(b *Bugs) { b.retryNonIdempotent = true }
	TruncatedIsComplete  = func(b *Bugs) { b.truncatedIsComplete = true }
	OmitLastEventID      = func(b *Bugs) { b.omitLastEventID = true }
	AlwaysPromisesNotRun = func(b *Bugs) { b.alwaysPromisesNotRun = true }
)

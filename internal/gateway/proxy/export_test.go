package proxy

// Plant plants a fault for the tests outside the package.
func (p *Proxy) InjectBug(set func(*Bugs)) { set(&p.bugs) }

// Bugs are the faults that can be planted.
type Bugs = injectedBugs

// The faults.
var (
	AcceptAnyID          = func(b *Bugs) { b.acceptAnyID = true }
	RetryNonIdempotent   = func(b *Bugs) { b.retryNonIdempotent = true }
	TruncatedIsComplete  = func(b *Bugs) { b.truncatedIsComplete = true }
	OmitLastEventID      = func(b *Bugs) { b.omitLastEventID = true }
	AlwaysPromisesNotRun = func(b *Bugs) { b.alwaysPromisesNotRun = true }
)

package leader

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Options configures a Runner.
type Options struct {
	// Interval is the time between looks at the source. A shorter one starts and stops the role sooner after
	// the leadership has moved; Term.Valid doesn't depend on it. Zero means 100 ms.
	Interval time.Duration
	// Margin is how much before the end of its lease a term is over. It must cover the time between a look at
	// Term.Valid and the act that follows. Zero means 50 ms.
	Margin time.Duration
}

// Defaults of Options.
const (
	defaultInterval = 100 * time.Millisecond
	defaultMargin   = 50 * time.Millisecond
)

// Runner runs a role while this node is the leader. Its methods may be called by several goroutines at once.
type Runner struct {
	source    Source
	role      Role
	options   Options
	startedAt time.Time // zero of the election's clock; time.Time carries a monotonic reading

	closeOnce sync.Once
	closing   chan struct{} // closed by Close
	loopDone  chan struct{} // closed once the source isn't polled any more

	// mutex guards the fields below. It is held for no longer than a call of Source.LeaderLease, and never
	// while a role is waited for.
	mutex        sync.Mutex
	election     *Election
	cancel       context.CancelFunc // of the role that was started last; nil before the first
	roleReturned chan struct{}      // closed once the role that was started last has returned, or if none was
}

// Run starts a runner, which campaigns until Resign or Close.
func Run(source Source, role Role, options Options) *Runner {
	if options.Interval <= 0 {
		options.Interval = defaultInterval
	}
	if options.Margin <= 0 {
		options.Margin = defaultMargin
	}
	r := &Runner{
		source:       source,
		role:         role,
		options:      options,
		startedAt:    time.Now(),
		closing:      make(chan struct{}),
		loopDone:     make(chan struct{}),
		election:     NewElection(options.Margin),
		roleReturned: make(chan struct{}),
	}
	close(r.roleReturned)
	go r.run()
	return r
}

// now returns the election's time.
func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// leaderLease returns the source's lease, in the election's time.
func (r *Runner) leaderLease() Lease {
	epoch, until, leads := r.source.LeaderLease()
	return Lease{Epoch: epoch, Expires: until.Sub(r.startedAt), Held: leads}
}

// run polls the source until Close.
func (r *Runner) run() {
	defer close(r.loopDone)
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		r.observe()
		select {
		case <-ticker.C:
		case <-r.closing:
			return
		}
	}
}

// observe asks the source, and starts or cancels the role. A role starts only once the one before has
// returned.
func (r *Runner) observe() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lease := r.leaderLease()
	if _, _, running := r.election.Term(); !running && !r.hasRoleReturned() {
		return
	}
	switch r.election.Observe(r.now(), lease) {
	case StartRole:
		r.startRole(lease.Epoch)
	case StopRole:
		r.cancel()
	case NoAction:
	}
}

// hasRoleReturned reports whether no role is at work, cancelled or not. The caller holds the mutex.
func (r *Runner) hasRoleReturned() bool {
	select {
	case <-r.roleReturned:
		return true
	default:
		return false
	}
}

// startRole runs the role in a goroutine of its own. The caller holds the mutex.
func (r *Runner) startRole(epoch uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	r.cancel, r.roleReturned = cancel, returned
	go func() {
		defer close(returned)
		r.role(ctx, &Term{runner: r, epoch: epoch})
	}()
}

// valid is Term.Valid. It asks the source itself: a lease that was renewed since the last poll counts at
// once.
func (r *Runner) valid(epoch uint64) bool {
	lease := r.leaderLease()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if lease.Held && lease.Epoch == epoch {
		// The election may end the term here: the role must be cancelled then, as no later look asks for it again.
		if _, _, running := r.election.Term(); running && r.election.Observe(r.now(), lease) == StopRole {
			r.cancel()
		}
	}
	return r.election.Valid(r.now(), epoch)
}

// Resign stops the role, waits for it to return, and hands the leadership over. The role doesn't start here
// again until Campaign. The error is that of ctx if it ends before the role has returned, in which case
// nothing is handed over, or the source's.
func (r *Runner) Resign(ctx context.Context) error {
	select {
	case <-r.stopRole():
	case <-ctx.Done():
		return fmt.Errorf("leader: the role hasn't returned: %w", ctx.Err())
	}
	return r.source.HandOver(ctx)
}

// stopRole resigns and cancels the role. The channel that it returns is closed once the role has returned.
func (r *Runner) stopRole() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.election.Resign() == StopRole {
		r.cancel()
	}
	return r.roleReturned
}

// Campaign lets the role start here again after Resign.
func (r *Runner) Campaign() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.election.Campaign()
}

// Close stops the role, waits for it to return, and ends the runner. The leadership isn't handed over.
func (r *Runner) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	<-r.loopDone
	<-r.stopRole()
}

package leader

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Options configures a Runner.
type Options struct {
	// Interval is the time between polls of the source. A shorter interval starts and stops the role sooner
	// after the leadership has moved; Term.Valid doesn't depend on it. Zero means 100 ms.
	Interval time.Duration
	// Margin is how long before the end of its lease a term ends. It must cover the time between a call
	// of Term.Valid and the operation that follows. Zero means 50 ms.
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
	startedAt time.Time // zero of the election's clock; contains a monotonic clock reading

	closeOnce sync.Once
	closing   chan struct{} // closed by Close
	loopDone  chan struct{} // closed once the source is no longer polled

	// mutex guards the fields below. It is held for no longer than a call of Source.LeaderLease, and never
	// while the runner waits for a role to return.
	mutex        sync.Mutex
	election     *Election
	cancel       context.CancelFunc // cancels the role that was started last; nil before the first start
	roleReturned chan struct{}      // closed while no role is running; initially closed
}

// Run starts a runner, which runs the role whenever this node is the leader, until Resign or Close.
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

// now returns the current time of the election's clock.
func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// leaderLease returns the source's lease, with times of the election's clock.
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

// observe polls the source, and starts or cancels the role. The role starts only once its previous run has
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

// hasRoleReturned reports whether no role is running. A cancelled role is running until it has returned. The
// caller must hold the mutex.
func (r *Runner) hasRoleReturned() bool {
	select {
	case <-r.roleReturned:
		return true
	default:
		return false
	}
}

// startRole runs the role in a new goroutine. The caller must hold the mutex.
func (r *Runner) startRole(epoch uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	r.cancel, r.roleReturned = cancel, returned
	go func() {
		defer close(returned)
		r.role(ctx, &Term{runner: r, epoch: epoch})
	}()
}

// valid implements Term.Valid. It calls the source itself, so that a lease that was renewed since the last poll
// counts at once.
func (r *Runner) valid(epoch uint64) bool {
	lease := r.leaderLease()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if lease.Held && lease.Epoch == epoch {
		// The election may end the term here. The role must then be cancelled here, because no later call of
		// Observe returns StopRole for this term again.
		if _, _, running := r.election.Term(); running && r.election.Observe(r.now(), lease) == StopRole {
			r.cancel()
		}
	}
	return r.election.Valid(r.now(), epoch)
}

// Resign stops the role, waits for it to return, and hands over the leadership. The role doesn't start on this
// node again until Campaign is called. If ctx ends before the role has returned, Resign returns an error that
// wraps ctx.Err() and doesn't hand over the leadership. Otherwise it returns the error of Source.HandOver.
func (r *Runner) Resign(ctx context.Context) error {
	select {
	case <-r.stopRole():
	case <-ctx.Done():
		return fmt.Errorf("leader: waiting for the cancelled role to return: %w", ctx.Err())
	}
	return r.source.HandOver(ctx)
}

// stopRole resigns from the election and cancels the role. The returned channel is closed once the role has
// returned.
func (r *Runner) stopRole() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.election.Resign() == StopRole {
		r.cancel()
	}
	return r.roleReturned
}

// Campaign allows the role to start on this node again after Resign.
func (r *Runner) Campaign() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.election.Campaign()
}

// Close stops the role, waits for it to return, and ends the runner. It doesn't hand over the leadership.
func (r *Runner) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	<-r.loopDone
	<-r.stopRole()
}

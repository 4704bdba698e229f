package leader

import (
	"context"
	"sync"
	"time"
)

// Source says whether this node leads; coord/replica.Node is one.
type Source interface {
	// Lead returns the epoch of the leadership and the moment until which no other node has one.
	Lead() (epoch uint64, until time.Time, ok bool)
	// HandOver gives the leadership away.
	HandOver(ctx context.Context) error
}

// Role is what one node at a time does. It returns soon after ctx ends.
type Role func(ctx context.Context, term *Term)

// Term is one uninterrupted leadership.
type Term struct {
	runner *Runner
	epoch  uint64
}

// Epoch returns the term's epoch, which is higher than that of any term before it, on any node. It
// fences off what earlier terms began.
func (t *Term) Epoch() uint64 { return t.epoch }

// Valid reports whether this node still leads. It is asked right before each act.
func (t *Term) Valid() bool { return t.runner.valid(t.epoch) }

// Options adjust a Runner.
type Options struct {
	// Interval is how often the source is asked. Zero means 100 ms.
	Interval time.Duration
	// Margin is how much before its end a term is over. Zero means 50 ms.
	Margin time.Duration
}

const (
	defaultInterval = 100 * time.Millisecond
	defaultMargin   = 50 * time.Millisecond
)

// Runner runs a role while this node leads.
type Runner struct {
	source       Source
	role         Role
	options      Options
	startedAt    time.Time
	closing      chan struct{}
	loopDone     chan struct{}
	closeOnce    sync.Once
	mutex        sync.Mutex
	election     *Election
	cancel       context.CancelFunc
	roleReturned chan struct{} // closed once the role that runs, or ran last, has returned
}

// Run starts a runner.
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

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

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

// observe asks the source and starts or stops the role. A role starts only once the one before has
// returned.
func (r *Runner) observe() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	epoch, until, leads := r.source.Lead()
	claim := LeaderLease{Epoch: epoch, Expires: until.Sub(r.startedAt), Held: leads}
	if _, _, running := r.election.Term(); !running && !r.hasRoleReturned() {
		return
	}
	switch r.election.Observe(r.now(), claim) {
	case StartRole:
		r.startRole(epoch)
	case StopRole:
		r.cancel()
	case NoAction:
	}
}

func (r *Runner) hasRoleReturned() bool {
	select {
	case <-r.roleReturned:
		return true
	default:
		return false
	}
}

func (r *Runner) startRole(epoch uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	r.cancel, r.roleReturned = cancel, stopped
	go func() {
		defer close(stopped)
		r.role(ctx, &Term{runner: r, epoch: epoch})
	}()
}

// valid compares the term with the clock and with the source's newest word.
func (r *Runner) valid(epoch uint64) bool {
	current, until, leads := r.source.Lead()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if leads && current == epoch {
		if _, _, running := r.election.Term(); running {
			r.election.Observe(r.now(), LeaderLease{Epoch: current, Expires: until.Sub(r.startedAt), Held: true})
		}
	}
	return r.election.Valid(r.now(), epoch)
}

// Resign stops the role, waits for it to return, and hands the leadership over. The role doesn't
// start here again until Stand.
func (r *Runner) Resign(ctx context.Context) error {
	r.mutex.Lock()
	if r.election.Resign() == StopRole {
		r.cancel()
	}
	stopped := r.roleReturned
	r.mutex.Unlock()
	select {
	case <-stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.source.HandOver(ctx)
}

// Stand allows the role to start here again.
func (r *Runner) Campaign() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.election.Campaign()
}

// Close stops the role and waits for it.
func (r *Runner) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	<-r.loopDone
	r.mutex.Lock()
	if r.election.Resign() == StopRole {
		r.cancel()
	}
	stopped := r.roleReturned
	r.mutex.Unlock()
	<-stopped
}

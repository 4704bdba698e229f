package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

// Store is the part of the batch process that keeps batch jobs, as the runner uses it. The runner doesn't
// hold its own mutex during these calls, so that the store may call Start and Stop meanwhile.
type Store interface {
	// Work returns the items of a batch job that have no result yet, and false if this store may not run the
	// batch job.
	Work(id string) (replica.Job, bool)
	// ReadItem reads an item at a location that Work returned.
	ReadItem(at wal.Location) (job.Item, error)
	// ReadEvents reads the saved events of an item, in order.
	ReadEvents(at []wal.Location) ([][]byte, error)
	// MayRun reports whether an item may be sent to a server now. It is called right before the first byte.
	MayRun(id string, index int) bool
	// Progress saves events of a running item. The first of them is the one that follows the event with the
	// id after; the last of them has the id last.
	Progress(id string, index int, after, last int64, events [][]byte)
	// Failures records how often servers have failed an item so far.
	Failures(id string, index int, failures replica.Failures)
	// Finish adds an item's result to its batch job. If it returns false, the runner submits the result again.
	Finish(id string, index int, state job.State, text []byte) bool
}

// Discovery provides the configuration and the servers that control has sent.
type Discovery interface {
	// Configuration returns the configuration in force, nil while none is known.
	Configuration() *configuration.Snapshot
	// Servers returns the servers of a backend, including draining ones.
	Servers(backend string) []protocol.Server
}

// Client sends items to servers. It is implemented by *serverclient.Client.
type Client interface {
	Run(ctx context.Context, request *serverclient.Request) serverclient.Outcome
	Dials() int64
	Sweep(present func(instance string) bool)
}

// Intervals of the loop in Run.
const (
	pollInterval  = 100 * time.Millisecond // while batch jobs run, for work that becomes due without a call of Wake
	sweepInterval = time.Second            // between sweeps of connections, and of the loop while no batch job runs
)

// Runner runs items. Its methods may be called from any goroutine.
type Runner struct {
	store        Store
	discovery    Discovery
	client       Client
	log          zerolog.Logger
	loads        *serverload.Table
	origin       time.Time      // zero of the planner's clock
	maxClockSkew time.Duration  // by which the clocks of machines may differ or jump
	wake         chan struct{}  // capacity 1
	attempts     sync.WaitGroup // running attempts

	mutex           sync.Mutex // guards the fields below
	planner         *scheduler.Planner
	jobs            map[string]*batchJob // batch jobs that run here, by id
	toStart         map[string]bool      // ids passed to Start that the loop hasn't handled yet
	stoppedFailures failureRecords
	closed          bool
	counts          Counts // without Dials, which the client counts
	bugs            injectedBugs
}

// Counts holds totals since the start: attempts and how they ended, items by their final state, resumed
// streams and dialed connections.
type Counts struct{ Attempts, Completed, DeadLetter, Resumed, Rejected, Interrupted, Failed, Dials int64 }

// New returns a runner for a store in a zone. maxClockSkew is the time by which the clocks of machines may
// differ or jump: items expire that much later.
func New(
	zone string, maxClockSkew time.Duration, store Store, discovery Discovery, log zerolog.Logger,
) *Runner {
	r := &Runner{
		store: store, discovery: discovery, log: log, maxClockSkew: maxClockSkew,
		client:          serverclient.NewClient(),
		loads:           serverload.NewTable(),
		origin:          time.Now(),
		wake:            make(chan struct{}, 1),
		jobs:            map[string]*batchJob{},
		toStart:         map[string]bool{},
		stoppedFailures: failureRecords{},
	}
	r.planner = scheduler.New(zone, rand.Uint64(), r)
	return r
}

// Run runs items until the context ends. It then cancels all attempts and waits for them to return. It must
// be called once.
func (r *Runner) Run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	sweptAt := time.Now()
	for ctx.Err() == nil {
		r.startJobs()
		r.refresh()
		r.dispatch()
		if time.Since(sweptAt) > sweepInterval {
			sweptAt = time.Now()
			r.sweep()
		}
		pause := pollInterval
		if r.isIdle() {
			pause = sweepInterval
		}
		timer.Reset(pause)
		select {
		case <-r.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	r.close()
	r.attempts.Wait()
}

// Start makes the runner run a batch job's items. It only records the id for the loop in Run and doesn't
// call the store, so that the store may call it with its own mutex held.
func (r *Runner) Start(id string) {
	r.mutex.Lock()
	r.toStart[id] = true
	r.mutex.Unlock()
	r.Wake()
}

// Stop cancels the attempts of a batch job's items and starts no more of them. It doesn't call the store.
func (r *Runner) Stop(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.toStart, id)
	if batch := r.jobs[id]; batch != nil {
		batch.cancel()
		delete(r.jobs, id)
		r.planner.Remove(id)
		for index, progress := range batch.items {
			r.stoppedFailures.put(id, index, progress.failureRecord)
		}
	}
}

// Wake makes the loop in Run handle changes of the configuration, servers or free capacity at once.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// SetStoreCount sets the number of stores that run items, this one included.
func (r *Runner) SetStoreCount(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.SetStoreCount(count)
}

// Load returns the number of items that wait and that run here, and the sum of the limits of all servers, in
// items.
func (r *Runner) Load() (waiting, running, allowed int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	waiting, running = r.planner.Counts()
	return waiting, running, r.planner.TotalLimit()
}

// Counts returns the totals since the start.
func (r *Runner) Counts() Counts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := r.counts
	counts.Dials = r.client.Dials()
	return counts
}

// dispatch starts all attempts that the scheduler allows now.
func (r *Runner) dispatch() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !r.closed {
		assignment, ok := r.planner.Next(r.now())
		if !ok {
			return
		}
		batch := r.jobs[assignment.Job]
		r.attempts.Go(func() { r.runItem(batch, assignment) })
	}
}

// sweep closes idle connections to servers that are no longer listed, and connections that were idle too long.
func (r *Runner) sweep() {
	r.client.Sweep(func(instance string) bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return r.planner.HasServer(instance)
	})
}

// close cancels all attempts. dispatch starts no more afterwards.
func (r *Runner) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, batch := range r.jobs {
		batch.cancel()
	}
}

// isIdle reports whether no batch job runs here.
func (r *Runner) isIdle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.jobs) == 0
}

// now returns the current time on the planner's clock.
func (r *Runner) now() time.Duration { return time.Since(r.origin) }

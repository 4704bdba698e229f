// Package runner owns the running of items: it takes the batch jobs that this store owns, sends their items to servers as
// the schedule says, keeps what came of broken streams, and hands in what became of each item. It must never send a byte of
// an item without the store's consent right before it, nor join events of runs that don't continue one another.
package runner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Store is what items belong to.
type Store interface {
	Work(id string) (replica.Job, bool)
	ReadItem(at wal.Location) (job.Item, error)
	MayRun(id string, index int) bool
	Finish(id string, index int, state job.State, text []byte) bool
	Progress(id string, index int, after, last int64, events [][]byte)
	ReadEvents(at []wal.Location) ([][]byte, error)
}

// Knowledge is what control tells.
type Discovery interface {
	Configuration() *configuration.Snapshot
	Servers(backend string) []protocol.Server
}

// Client speaks to servers. *exchange.Client is one.
type Client interface {
	Run(ctx context.Context, request *serverclient.Request) serverclient.Outcome
	Dials() int64
	Sweep(present func(instance string) bool)
}

const (
	pollInterval            = 100 * time.Millisecond // for what waits on time, while something does
	stallTimeout            = 3 * time.Second        // of a server, after which it is given up
	maxDeadline             = 30 * time.Second       // that a server gets for an item
	retryDelay              = 20 * time.Millisecond
	longRetryDelay          = 300 * time.Millisecond
	routeMissingTimeout     = 5 * time.Second  // until a route that is missing has ended
	defaultCompletionTarget = 10 * time.Second // where the route isn't known yet
	sweepInterval           = time.Second
	finishedAgain           = 200 * time.Millisecond
)

// Runner runs items.
type Runner struct {
	store        Store
	discovery    Discovery
	client       Client
	log          zerolog.Logger
	loads        *serverload.Table
	origin       time.Time
	maxClockSkew time.Duration // that clocks may differ or jump by
	wake         chan struct{}
	attempts     sync.WaitGroup

	mutex           sync.Mutex
	planner         *scheduler.Planner
	jobs            map[string]*batchJob
	toStart         map[string]bool
	stoppedFailures failureRecords // of batch jobs that were stopped
	closed          bool
	counts          Counts
	bugs            injectedBugs // of tests
}

// Counts are totals since the start.
type Counts struct{ Attempts, Completed, DeadLetter, Resumed, Rejected, Interrupted, Failed, Dials int64 }

// batchJob is one that is run here.
type batchJob struct {
	replica.Job
	ctx               context.Context
	cancel            context.CancelFunc
	items             map[int]*itemProgress
	results           []itemResult // not taken yet
	expiresAt         time.Time    // zero: not known
	routeMissingSince time.Time    // the route was first found missing
}

// progress is what is kept of an item between runs.
type itemProgress struct {
	location    wal.Location
	events      [][]byte
	lastEventID int64 // id of the last event, -1: none
	failureRecord
}

type itemResult struct {
	index int
	state job.State
	text  []byte
}

// New gives a runner; Run makes it work.
func New(zone string, skew time.Duration, store Store, knowledge Discovery, log zerolog.Logger) *Runner {
	r := &Runner{
		store: store, discovery: knowledge, log: log, maxClockSkew: skew,
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

// Loads gives the board of what servers tell of their load.
func (r *Runner) Loads() *serverload.Table { return r.loads }

// Told tells the planner what a server told of its load.
func (r *Runner) ReportedLoad(id string) (present, places int, at time.Duration, known bool) {
	told, when, known := r.loads.Lookup(time.Now(), xxhash.Sum64String(id))
	return told.InFlight(), told.Slots, when.Sub(r.origin), known
}

// Stores tells how many stores run items, this one included.
func (r *Runner) SetStoreCount(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.SetStoreCount(count)
}

// Reading tells the planner for how long a server reads long prompts.
func (r *Runner) PrefillBacklog(id string) time.Duration {
	return r.loads.PrefillTime(time.Now(), xxhash.Sum64String(id))
}

// Fails tells the planner whether a server fails what it gets.
func (r *Runner) IsFailing(id string) bool {
	return r.loads.Failing(time.Now(), xxhash.Sum64String(id))
}

// Start notes a batch job whose items are to be run. It doesn't call the store back.
func (r *Runner) Start(id string) {
	r.mutex.Lock()
	r.toStart[id] = true
	r.mutex.Unlock()
	r.Wake()
}

// Stop cancels what runs of a batch job. It doesn't call the store back.
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

// Wake has the runner look at what it knows again.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Load tells how many items wait and run here, and how many the servers' limits allow.
func (r *Runner) Load() (waiting, running, allowed int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	waiting, running = r.planner.Counts()
	return waiting, running, r.planner.TotalLimit()
}

// Counts gives the totals.
func (r *Runner) Counts() Counts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := r.counts
	counts.Dials = r.client.Dials()
	return counts
}

// Run works until the context ends; then it cancels all that runs.
func (r *Runner) Run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	swept := time.Now()
	for ctx.Err() == nil {
		r.startJobs()
		r.refresh()
		r.dispatch()
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
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

func (r *Runner) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, batch := range r.jobs {
		batch.cancel()
	}
}

func (r *Runner) isIdle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.jobs) == 0
}

func (r *Runner) now() time.Duration { return time.Since(r.origin) }

// begin takes the batch jobs in that Start named.
func (r *Runner) startJobs() {
	r.mutex.Lock()
	ids := r.toStart
	r.toStart = map[string]bool{}
	r.mutex.Unlock()
	for id := range ids {
		work, ok := r.store.Work(id)
		if ok {
			r.addJob(work)
		}
	}
}

func (r *Runner) addJob(work replica.Job) {
	tasks := make([]scheduler.Task, 0, len(work.Items))
	items := make(map[int]*itemProgress, len(work.Items))
	for _, one := range work.Items {
		item, err := r.store.ReadItem(one.At)
		if err != nil {
			r.log.Error().Err(err).Str("batch_job", work.ID).Msg("item_unreadable")
			continue
		}
		tasks = append(tasks, scheduler.Task{Job: work.ID, Index: one.Index, Prefix: promptPrefix(&item)})
		items[one.Index] = r.restoreProgress(work.ID, one)
	}
	snapshot := r.discovery.Configuration()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.jobs[work.ID] != nil {
		return // it runs here already
	}
	ctx, cancel := context.WithCancel(context.Background())
	batch := &batchJob{Job: work, ctx: ctx, cancel: cancel, items: items}
	r.jobs[work.ID] = batch
	tasks = r.restoreFailures(batch, tasks)
	target := defaultCompletionTarget
	var backends []string
	if snapshot != nil {
		if route := snapshot.RouteByName(work.Route); route != nil {
			target, backends = route.CompletionTarget(), route.Backends()
			batch.expiresAt = r.expiry(work.FirstSent, route)
		}
	}
	r.planner.Add(work.ID, r.now()+time.Until(time.UnixMilli(work.FirstSent).Add(target)), backends, tasks)
}

// begun gives an item with what an earlier life of this process received of it.
func (r *Runner) restoreProgress(id string, one replica.JobItem) *itemProgress {
	progress := &itemProgress{location: one.At, lastEventID: -1}
	if one.Last < 0 {
		return progress
	}
	events, err := r.store.ReadEvents(one.Events)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", id).Msg("progress_unreadable")
		return progress
	}
	progress.events, progress.lastEventID = events, one.Last
	return progress
}

// prefixOf gives the first part that an item's prompt shares with others.
func promptPrefix(item *job.Item) string {
	for _, header := range item.Headers {
		if strings.EqualFold(header.Name, "X-Prompt-Prefix") {
			first, _, _ := strings.Cut(header.Value, ",")
			return first
		}
	}
	return ""
}

// refresh looks at routes, servers and times again.
func (r *Runner) refresh() {
	snapshot := r.discovery.Configuration()
	if snapshot == nil {
		return
	}
	var list []protocol.Server
	for i := range snapshot.Backends {
		list = append(list, r.discovery.Servers(snapshot.Backends[i].Name)...)
	}
	r.mutex.Lock()
	r.planner.SetServers(list)
	now := time.Now()
	for id, batch := range r.jobs {
		route := snapshot.RouteByName(batch.Route)
		if route != nil {
			batch.routeMissingSince = time.Time{}
			batch.expiresAt = r.expiry(batch.FirstSent, route)
			r.planner.SetBackends(id, route.Backends())
		} else if batch.routeMissingSince.IsZero() {
			batch.routeMissingSince = now
		}
		if !batch.expiresAt.IsZero() && now.After(batch.expiresAt) || !batch.routeMissingSince.IsZero() && now.Sub(batch.routeMissingSince) > routeMissingTimeout {
			for _, task := range r.planner.Waiting(id) {
				r.planner.RemoveTask(id, task.Index)
				batch.results = append(batch.results, itemResult{index: task.Index, state: job.DeadLetter})
			}
		}
	}
	var due []*batchJob
	for _, batch := range r.jobs {
		if len(batch.results) > 0 {
			due = append(due, batch)
		}
	}
	r.mutex.Unlock()
	for _, batch := range due {
		r.submitResults(batch)
	}
}

// giveUpAt tells when a batch job's items may be given up: its retention after it was first sent, with room for clocks that
// differ or jump. Zero: never.
func (r *Runner) expiry(firstSent int64, route *configuration.Route) time.Time {
	if route.Retention() <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(firstSent).Add(route.Retention() + r.maxClockSkew)
}

// handIn lists what is finished of a batch job; what isn't taken is offered again.
func (r *Runner) submitResults(batch *batchJob) {
	r.mutex.Lock()
	list := batch.results
	batch.results = nil
	current := r.jobs[batch.ID] == batch
	r.mutex.Unlock()
	if !current {
		return
	}
	for _, one := range list {
		taken := r.store.Finish(batch.ID, one.index, one.state, one.text)
		r.mutex.Lock()
		if taken {
			delete(batch.items, one.index)
			r.countFinished(one.state)
		} else if !r.bugs.dropUnacceptedResult {
			batch.results = append(batch.results, one)
		}
		if len(batch.items) == 0 && r.jobs[batch.ID] == batch {
			batch.cancel()
			delete(r.jobs, batch.ID)
			r.planner.Remove(batch.ID)
		}
		r.mutex.Unlock()
	}
}

func (r *Runner) countFinished(state job.State) {
	if state == job.Completed {
		r.counts.Completed++
		return
	}
	r.counts.DeadLetter++
}

// dispatch starts all that can start now.
func (r *Runner) dispatch() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !r.closed {
		assignment, ok := r.planner.Next(r.now())
		if !ok {
			return
		}
		batch := r.jobs[assignment.Job]
		r.attempts.Add(1)
		go r.runItem(batch, assignment)
	}
}

func (r *Runner) sweep() {
	r.client.Sweep(func(instance string) bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return r.planner.HasServer(instance)
	})
}

// text joins the data of all events.
func joinEvents(events [][]byte) []byte { return bytes.Join(events, []byte("\n")) }

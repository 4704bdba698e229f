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
type Knowledge interface {
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
	pollEvery     = 100 * time.Millisecond // for what waits on time, while something does
	silence       = 3 * time.Second        // of a server, after which it is given up
	mostDeadline  = 30 * time.Second       // that a server gets for an item
	againSoon     = 20 * time.Millisecond
	againLater    = 300 * time.Millisecond
	routeGoneFor  = 5 * time.Second  // until a route that is missing has ended
	defaultTarget = 10 * time.Second // where the route isn't known yet
	sweepEvery    = time.Second
	finishedAgain = 200 * time.Millisecond
)

// Runner runs items.
type Runner struct {
	store     Store
	knowledge Knowledge
	client    Client
	log       zerolog.Logger
	loads     *serverload.Table
	origin    time.Time
	skew      time.Duration // that clocks may differ or jump by
	wake      chan struct{}
	runs      sync.WaitGroup

	mutex    sync.Mutex
	planner  *scheduler.Planner
	jobs     map[string]*batchJob
	starting map[string]bool
	setbacks setbacks // of batch jobs that were stopped
	closed   bool
	counts   Counts
	bugs     bugs // of tests
}

// Counts are totals since the start.
type Counts struct{ Runs, Completed, DeadLetter, Resumed, Rejected, Cut, Failed, Dials int64 }

// batchJob is one that is run here.
type batchJob struct {
	replica.Job
	context   context.Context
	cancel    context.CancelFunc
	items     map[int]*progress
	finished  []finished // not taken yet
	giveUpAt  time.Time  // zero: not known
	missingAt time.Time  // the route was first found missing
}

// progress is what is kept of an item between runs.
type progress struct {
	at     wal.Location
	events [][]byte
	last   int64 // id of the last event, -1: none
	setback
}

type finished struct {
	index int
	state job.State
	text  []byte
}

// New gives a runner; Run makes it work.
func New(zone string, skew time.Duration, store Store, knowledge Knowledge, log zerolog.Logger) *Runner {
	r := &Runner{
		store: store, knowledge: knowledge, log: log, skew: skew,
		client:   serverclient.NewClient(),
		loads:    serverload.NewTable(),
		origin:   time.Now(),
		wake:     make(chan struct{}, 1),
		jobs:     map[string]*batchJob{},
		starting: map[string]bool{},
		setbacks: setbacks{},
	}
	r.planner = scheduler.New(zone, rand.Uint64(), r)
	return r
}

// Loads gives the board of what servers tell of their load.
func (r *Runner) Loads() *serverload.Table { return r.loads }

// Told tells the planner what a server told of its load.
func (r *Runner) Told(id string) (present, places int, at time.Duration, known bool) {
	told, when, known := r.loads.Lookup(time.Now(), xxhash.Sum64String(id))
	return told.InFlight(), told.Slots, when.Sub(r.origin), known
}

// Stores tells how many stores run items, this one included.
func (r *Runner) Stores(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.Stores(count)
}

// Reading tells the planner for how long a server reads long prompts.
func (r *Runner) Reading(id string) time.Duration {
	return r.loads.PrefillTime(time.Now(), xxhash.Sum64String(id))
}

// Fails tells the planner whether a server fails what it gets.
func (r *Runner) Fails(id string) bool { return r.loads.Failing(time.Now(), xxhash.Sum64String(id)) }

// Start notes a batch job whose items are to be run. It doesn't call the store back.
func (r *Runner) Start(id string) {
	r.mutex.Lock()
	r.starting[id] = true
	r.mutex.Unlock()
	r.Wake()
}

// Stop cancels what runs of a batch job. It doesn't call the store back.
func (r *Runner) Stop(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.starting, id)
	if b := r.jobs[id]; b != nil {
		b.cancel()
		delete(r.jobs, id)
		r.planner.Remove(id)
		for index, kept := range b.items {
			r.setbacks.note(id, index, kept.setback)
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
	return waiting, running, r.planner.Allowed()
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
	timer := time.NewTimer(pollEvery)
	defer timer.Stop()
	swept := time.Now()
	for ctx.Err() == nil {
		r.begin()
		r.refresh()
		r.dispatch()
		if time.Since(swept) > sweepEvery {
			swept = time.Now()
			r.sweep()
		}
		pause := pollEvery
		if r.idle() {
			pause = sweepEvery
		}
		timer.Reset(pause)
		select {
		case <-r.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	r.close()
	r.runs.Wait()
}

func (r *Runner) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, b := range r.jobs {
		b.cancel()
	}
}

func (r *Runner) idle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.jobs) == 0
}

func (r *Runner) now() time.Duration { return time.Since(r.origin) }

// begin takes the batch jobs in that Start named.
func (r *Runner) begin() {
	r.mutex.Lock()
	ids := r.starting
	r.starting = map[string]bool{}
	r.mutex.Unlock()
	for id := range ids {
		work, ok := r.store.Work(id)
		if ok {
			r.add(work)
		}
	}
}

func (r *Runner) add(work replica.Job) {
	tasks := make([]scheduler.Task, 0, len(work.Items))
	items := make(map[int]*progress, len(work.Items))
	for _, one := range work.Items {
		item, err := r.store.ReadItem(one.At)
		if err != nil {
			r.log.Error().Err(err).Str("batch_job", work.ID).Msg("item_unreadable")
			continue
		}
		tasks = append(tasks, scheduler.Task{Job: work.ID, Index: one.Index, Prefix: prefixOf(&item)})
		items[one.Index] = r.begun(work.ID, one)
	}
	snapshot := r.knowledge.Configuration()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.jobs[work.ID] != nil {
		return // it runs here already
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &batchJob{Job: work, context: ctx, cancel: cancel, items: items}
	r.jobs[work.ID] = b
	tasks = r.takeUp(b, tasks)
	target := defaultTarget
	var backends []string
	if snapshot != nil {
		if route := snapshot.RouteNamed(work.Route); route != nil {
			target, backends = route.CompletionTarget(), route.Backends()
			b.giveUpAt = r.giveUpAt(work.FirstSent, route)
		}
	}
	r.planner.Add(work.ID, r.now()+time.Until(time.UnixMilli(work.FirstSent).Add(target)), backends, tasks)
}

// begun gives an item with what an earlier life of this process received of it.
func (r *Runner) begun(id string, one replica.JobItem) *progress {
	kept := &progress{at: one.At, last: -1}
	if one.Last < 0 {
		return kept
	}
	events, err := r.store.ReadEvents(one.Events)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", id).Msg("progress_unreadable")
		return kept
	}
	kept.events, kept.last = events, one.Last
	return kept
}

// prefixOf gives the first part that an item's prompt shares with others.
func prefixOf(item *job.Item) string {
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
	snapshot := r.knowledge.Configuration()
	if snapshot == nil {
		return
	}
	var list []protocol.Server
	for i := range snapshot.Backends {
		list = append(list, r.knowledge.Servers(snapshot.Backends[i].Name)...)
	}
	r.mutex.Lock()
	r.planner.Servers(list)
	now := time.Now()
	for id, b := range r.jobs {
		route := snapshot.RouteNamed(b.Route)
		if route != nil {
			b.missingAt = time.Time{}
			b.giveUpAt = r.giveUpAt(b.FirstSent, route)
			r.planner.Backends(id, route.Backends())
		} else if b.missingAt.IsZero() {
			b.missingAt = now
		}
		if !b.giveUpAt.IsZero() && now.After(b.giveUpAt) || !b.missingAt.IsZero() && now.Sub(b.missingAt) > routeGoneFor {
			for _, task := range r.planner.Waiting(id) {
				r.planner.Take(id, task.Index)
				b.finished = append(b.finished, finished{index: task.Index, state: job.DeadLetter})
			}
		}
	}
	var due []*batchJob
	for _, b := range r.jobs {
		if len(b.finished) > 0 {
			due = append(due, b)
		}
	}
	r.mutex.Unlock()
	for _, b := range due {
		r.handIn(b)
	}
}

// giveUpAt tells when a batch job's items may be given up: its retention after it was first sent, with room for clocks that
// differ or jump. Zero: never.
func (r *Runner) giveUpAt(firstSent int64, route *configuration.Route) time.Time {
	if route.Retention() <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(firstSent).Add(route.Retention() + r.skew)
}

// handIn lists what is finished of a batch job; what isn't taken is offered again.
func (r *Runner) handIn(b *batchJob) {
	r.mutex.Lock()
	list := b.finished
	b.finished = nil
	current := r.jobs[b.ID] == b
	r.mutex.Unlock()
	if !current {
		return
	}
	for _, one := range list {
		taken := r.store.Finish(b.ID, one.index, one.state, one.text)
		r.mutex.Lock()
		if taken {
			delete(b.items, one.index)
			r.countFinished(one.state)
		} else if !r.bugs.dropUntaken {
			b.finished = append(b.finished, one)
		}
		if len(b.items) == 0 && r.jobs[b.ID] == b {
			b.cancel()
			delete(r.jobs, b.ID)
			r.planner.Remove(b.ID)
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
		b := r.jobs[assignment.Job]
		r.runs.Add(1)
		go r.run(b, assignment)
	}
}

func (r *Runner) sweep() {
	r.client.Sweep(func(instance string) bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return r.planner.Present(instance)
	})
}

// text joins the data of all events.
func text(events [][]byte) []byte { return bytes.Join(events, []byte("\n")) }

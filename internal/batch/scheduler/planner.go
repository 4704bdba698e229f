package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// initialMeanDuration is the assumed mean duration of an attempt before any has completed.
	initialMeanDuration = time.Second
	// meanDurationWeight is the weight of one attempt in the moving average.
	meanDurationWeight = 0.05
)

// Terms of a server's cost, relative to the load of a full server, which is 1.
const (
	crossZoneCost    = 2.0 // added for traffic between zones, if loads are not reported
	avoidedCost      = 4.0 // added for the server at which the last attempt failed
	cachedPrefixGain = 0.1 // subtracted for a server that was recently sent the prompt's prefix and may have it cached
)

// Task is an item to run.
type Task struct {
	Job    string // id of the batch job
	Index  int    // of the item in the batch job
	Prefix string // identifies the first part of the prompt; empty if unknown
}

// Assignment is a task with the server that it is sent to.
type Assignment struct {
	Task
	Server protocol.Server
}

// Planner holds the queue of tasks and the state of the servers. It isn't safe for concurrent use. All
// times are readings of one monotonic clock, which the caller chooses.
type Planner struct {
	zone         string
	random       *rand.Rand
	reports      LoadReports // nil if loads are not reported
	jobs         map[string]*queuedJob
	queue        []*queuedJob // all values of jobs, ordered by deadline, then id
	servers      map[string]*serverState
	byBackend    map[string][]*serverState // servers that aren't draining, ordered by id
	running      int
	stores       int // number of stores that compete for the servers' slots, this one included
	budget       slotBudget
	meanDuration time.Duration // of completed attempts, exponentially weighted moving average
}

// queuedJob is a batch job with its waiting tasks.
type queuedJob struct {
	id       string
	deadline time.Duration
	backends []string
	tasks    []queuedTask // in order of preference
}

// queuedTask is a waiting task, which starts no earlier than notBefore.
type queuedTask struct {
	task      Task
	notBefore time.Duration
	avoid     string // id of the server at which the last attempt failed; empty if there is none
}

// New returns a planner for a store in a zone. reports may be nil.
func New(zone string, seed uint64, reports LoadReports) *Planner {
	return &Planner{
		zone:         zone,
		random:       rand.New(rand.NewPCG(seed, 0)),
		reports:      reports,
		meanDuration: initialMeanDuration,
		jobs:         map[string]*queuedJob{},
		servers:      map[string]*serverState{},
		byBackend:    map[string][]*serverState{},
	}
}

// Add queues the tasks of a batch job. They replace its waiting tasks, if it has any.
func (p *Planner) Add(id string, deadline time.Duration, backends []string, tasks []Task) {
	p.Remove(id)
	job := &queuedJob{id: id, deadline: deadline, backends: backends}
	for _, task := range tasks {
		job.tasks = append(job.tasks, queuedTask{task: task})
	}
	p.jobs[id] = job
	at, _ := slices.BinarySearchFunc(p.queue, job, func(a, b *queuedJob) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
	})
	p.queue = slices.Insert(p.queue, at, job)
}

// Remove removes a batch job with its waiting tasks. Running ones are not affected.
func (p *Planner) Remove(id string) {
	job := p.jobs[id]
	if job == nil {
		return
	}
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(other *queuedJob) bool { return other == job })
}

// SetBackends sets the backends whose servers a batch job's items are sent to.
func (p *Planner) SetBackends(id string, backends []string) {
	if job := p.jobs[id]; job != nil {
		job.backends = backends
	}
}

// Requeue queues a task again, ahead of the other tasks of its batch job. The task starts no earlier than
// notBefore and preferably not at the server avoid. It is dropped if the batch job was removed.
func (p *Planner) Requeue(task Task, notBefore time.Duration, avoid string) {
	job := p.jobs[task.Job]
	if job == nil {
		return
	}
	job.tasks = slices.Insert(job.tasks, 0, queuedTask{task: task, notBefore: notBefore, avoid: avoid})
}

// RemoveTask removes a waiting task.
func (p *Planner) RemoveTask(id string, index int) {
	if job := p.jobs[id]; job != nil {
		job.tasks = slices.DeleteFunc(job.tasks, func(queued queuedTask) bool { return queued.task.Index == index })
	}
}

// Waiting returns a batch job's waiting tasks.
func (p *Planner) Waiting(id string) []Task {
	job := p.jobs[id]
	if job == nil {
		return nil
	}
	tasks := make([]Task, len(job.tasks))
	for i := range job.tasks {
		tasks[i] = job.tasks[i].task
	}
	return tasks
}

// Counts returns the number of waiting and of running tasks.
func (p *Planner) Counts() (waiting, running int) {
	for _, job := range p.queue {
		waiting += len(job.tasks)
	}
	return waiting, p.running
}

// SetStoreCount sets the number of stores that compete for the servers' slots, this one included.
func (p *Planner) SetStoreCount(count int) { p.stores = max(count, 1) }

// ObserveDuration adds the duration of a completed attempt to the moving average.
func (p *Planner) ObserveDuration(took time.Duration) {
	p.meanDuration += time.Duration(meanDurationWeight * float64(took-p.meanDuration))
}

// missesDeadline reports whether items of a batch job that start now are expected to end after its deadline.
func (p *Planner) missesDeadline(job *queuedJob, now time.Duration) bool {
	return now+p.meanDuration > job.deadline
}

// Next removes the next task from the queue, assigns it to a server and counts it as running there. It
// returns false if no task can start now.
func (p *Planner) Next(now time.Duration) (Assignment, bool) {
	if ablation.Off(ablation.BatchDeadlineOrder) {
		return p.nextWhere(now, func(*queuedJob) bool { return true })
	}
	inTime := func(job *queuedJob) bool { return !p.missesDeadline(job, now) }
	if assignment, found := p.nextWhere(now, inTime); found {
		return assignment, true
	}
	return p.nextWhere(now, func(job *queuedJob) bool { return p.missesDeadline(job, now) })
}

// nextWhere does the work of Next among the batch jobs for which wanted returns true.
func (p *Planner) nextWhere(now time.Duration, wanted func(*queuedJob) bool) (Assignment, bool) {
	for _, job := range p.queue {
		if !wanted(job) {
			continue
		}
		index := slices.IndexFunc(job.tasks, func(queued queuedTask) bool { return queued.notBefore <= now })
		if index < 0 {
			continue
		}
		chosen := p.pickServer(job, &job.tasks[index], now)
		if chosen == nil {
			continue
		}
		task := job.tasks[index].task
		job.tasks = slices.Delete(job.tasks, index, index+1)
		chosen.startTask(task.Prefix, now)
		p.running++
		return Assignment{Task: task, Server: chosen.Server}, true
	}
	return Assignment{}, false
}

// pickServer returns a server for a task, nil if none has capacity. It picks by reported loads; if there
// are none, it picks the server with the lowest cost.
func (p *Planner) pickServer(job *queuedJob, task *queuedTask, now time.Duration) *serverState {
	if chosen, reported := p.pickByReportedLoad(job, task, now); reported {
		return chosen
	}
	var best *serverState
	bestCost := 0.0
	for _, backend := range job.backends {
		for _, server := range p.byBackend[backend] {
			if !server.hasCapacity(now) {
				continue
			}
			load := float64(server.inFlight) / server.limit
			cost := p.cost(server, task, load, crossZoneCost, now)
			if best == nil || cost < bestCost {
				best, bestCost = server, cost
			}
		}
	}
	return best
}

// cost returns the cost of running a task at a server. load is 1 for a full server; crossZone is added if
// the server is in another zone.
func (p *Planner) cost(
	server *serverState, task *queuedTask, load, crossZone float64, now time.Duration,
) float64 {
	cost := load
	if server.Zone != p.zone {
		cost += crossZone
	}
	if server.ID == task.avoid {
		cost += avoidedCost
	}
	prefix := task.task.Prefix
	if prefix != "" && server.hasCachedPrefix(prefix, now) && !ablation.Off(ablation.BatchAffinity) {
		cost -= cachedPrefixGain
	}
	return cost
}

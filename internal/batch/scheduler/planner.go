// Package scheduler owns which item runs next and on which server: nearest due first, on servers of the own zone where they
// have room, within a limit for each server that follows what the server shows of its load. It is a pure state machine over
// a steady clock, and must never know bodies, texts or connections.
package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Task is an item to run.
type Task struct {
	Job    string
	Index  int
	Prefix string // what its prompt begins with, empty where it isn't known
}

// Assignment is a task with the server that it goes to.
type Assignment struct {
	Task
	Server protocol.Server
}

// Planner holds what waits and what the servers take.
type Planner struct {
	zone         string
	random       *rand.Rand
	reports      LoadReports
	jobs         map[string]*queuedJob
	queue        []*queuedJob // nearest due first
	servers      map[string]*serverState
	byBackend    map[string][]*serverState // by service
	running      int
	stores       int // that compete for the servers' places, this one included
	budget       slotBudget
	meanDuration time.Duration // that a run to its end takes, running mean
}

type queuedJob struct {
	id       string
	deadline time.Duration
	backends []string
	tasks    []queuedTask
}

type queuedTask struct {
	task      Task
	notBefore time.Duration
	avoid     string // server that the last try ended badly on
}

// New gives a planner for a store in a zone. load tells what servers told of their load, nil where nobody does.
func New(zone string, seed uint64, load LoadReports) *Planner {
	return &Planner{zone: zone, random: rand.New(rand.NewPCG(seed, 0)), reports: load, meanDuration: initialMeanDuration, jobs: map[string]*queuedJob{},
		servers: map[string]*serverState{}, byBackend: map[string][]*serverState{}}
}

// Add takes a batch job's items.
func (p *Planner) Add(id string, due time.Duration, backends []string, tasks []Task) {
	p.Remove(id)
	job := &queuedJob{id: id, deadline: due, backends: backends}
	for _, task := range tasks {
		job.tasks = append(job.tasks, queuedTask{task: task})
	}
	p.jobs[id] = job
	at, _ := slices.BinarySearchFunc(p.queue, job, func(a, b *queuedJob) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
	})
	p.queue = slices.Insert(p.queue, at, job)
}

// Remove drops a batch job's items that wait.
func (p *Planner) Remove(id string) {
	job := p.jobs[id]
	if job == nil {
		return
	}
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(other *queuedJob) bool { return other == job })
}

// Has tells whether a batch job is planned.
func (p *Planner) Has(id string) bool { return p.jobs[id] != nil }

// Backends changes the services that a batch job's items go to.
func (p *Planner) SetBackends(id string, backends []string) {
	if job := p.jobs[id]; job != nil {
		job.backends = backends
	}
}

// Return takes a task back that is to be tried again, not before a time and rather not on a server.
func (p *Planner) Requeue(task Task, notBefore time.Duration, avoid string) {
	job := p.jobs[task.Job]
	if job == nil {
		return
	}
	job.tasks = slices.Insert(job.tasks, 0, queuedTask{task: task, notBefore: notBefore, avoid: avoid})
}

// Take removes a waiting task, as one that is given up.
func (p *Planner) RemoveTask(id string, index int) {
	if job := p.jobs[id]; job != nil {
		job.tasks = slices.DeleteFunc(job.tasks, func(one queuedTask) bool { return one.task.Index == index })
	}
}

// Waiting lists a batch job's tasks that wait.
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

// Counts tells how many tasks wait and run.
func (p *Planner) Counts() (waiting, running int) {
	for _, job := range p.queue {
		waiting += len(job.tasks)
	}
	return waiting, p.running
}

// firstTypical is the time that a run is taken to need before any has ended.
const initialMeanDuration = time.Second

// typicalShare is the weight of one run in the mean.
const meanDurationWeight = 0.05

// Stores tells how many stores compete for the servers' places.
func (p *Planner) SetStoreCount(count int) { p.stores = max(count, 1) }

// Completed takes in how long a run to its end took.
func (p *Planner) ObserveDuration(took time.Duration) {
	p.meanDuration += time.Duration(meanDurationWeight * float64(took-p.meanDuration))
}

// isLate tells whether items of a batch job that start now can't be in time any more.
func (p *Planner) missesDeadline(job *queuedJob, now time.Duration) bool {
	return now+p.meanDuration > job.deadline
}

// Next gives the next task and its server, and counts it as running there; false where nothing can start now. What can't be in time
// any more lets the rest pass: to be later costs it little, and one late batch job would make all that follow late.
func (p *Planner) Next(now time.Duration) (Assignment, bool) {
	if ablation.Off(ablation.BatchDeadlineOrder) {
		return p.nextWhere(now, func(*queuedJob) bool { return true })
	}
	if assignment, found := p.nextWhere(now, func(job *queuedJob) bool { return !p.missesDeadline(job, now) }); found {
		return assignment, true
	}
	return p.nextWhere(now, func(job *queuedJob) bool { return p.missesDeadline(job, now) })
}

func (p *Planner) nextWhere(now time.Duration, wanted func(*queuedJob) bool) (Assignment, bool) {
	for _, job := range p.queue {
		if !wanted(job) {
			continue
		}
		index := slices.IndexFunc(job.tasks, func(one queuedTask) bool { return one.notBefore <= now })
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

// choose gives the server with the least cost that has room, nil where none has.
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
			cost := p.cost(server, task, now)
			if best == nil || cost < bestCost {
				best, bestCost = server, cost
			}
		}
	}
	return best
}

// Weights of a server's cost, in units of a full server.
const (
	crossZoneCost    = 2.0 // bytes between zones
	avoidedCost      = 4.0
	cachedPrefixGain = 0.1 // it has read the prompt's first part lately
	prefixCacheTTL   = 5 * time.Second
)

func (p *Planner) cost(server *serverState, task *queuedTask, now time.Duration) float64 {
	cost := float64(server.inFlight) / server.limit
	if server.Zone != p.zone {
		cost += crossZoneCost
	}
	if server.ID == task.avoid {
		cost += avoidedCost
	}
	if task.task.Prefix != "" && server.hasCachedPrefix(task.task.Prefix, now) && !ablation.Off(ablation.BatchAffinity) {
		cost -= cachedPrefixGain
	}
	return cost
}

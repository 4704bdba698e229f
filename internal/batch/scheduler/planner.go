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
	zone    string
	random  *rand.Rand
	load    Load
	jobs    map[string]*work
	queue   []*work // nearest due first
	servers map[string]*server
	lists   map[string][]*server // by service
	running int
	stores  int // that compete for the servers' places, this one included
	pace    pace
	typical time.Duration // that a run to its end takes, running mean
}

type work struct {
	id       string
	due      time.Duration
	backends []string
	waiting  []waiting
}

type waiting struct {
	task      Task
	notBefore time.Duration
	avoid     string // server that the last try ended badly on
}

// New gives a planner for a store in a zone. load tells what servers told of their load, nil where nobody does.
func New(zone string, seed uint64, load Load) *Planner {
	return &Planner{zone: zone, random: rand.New(rand.NewPCG(seed, 0)), load: load, typical: firstTypical, jobs: map[string]*work{},
		servers: map[string]*server{}, lists: map[string][]*server{}}
}

// Add takes a batch job's items.
func (p *Planner) Add(id string, due time.Duration, backends []string, tasks []Task) {
	p.Remove(id)
	w := &work{id: id, due: due, backends: backends}
	for _, task := range tasks {
		w.waiting = append(w.waiting, waiting{task: task})
	}
	p.jobs[id] = w
	at, _ := slices.BinarySearchFunc(p.queue, w, func(a, b *work) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.id, b.id))
	})
	p.queue = slices.Insert(p.queue, at, w)
}

// Remove drops a batch job's items that wait.
func (p *Planner) Remove(id string) {
	w := p.jobs[id]
	if w == nil {
		return
	}
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(other *work) bool { return other == w })
}

// Has tells whether a batch job is planned.
func (p *Planner) Has(id string) bool { return p.jobs[id] != nil }

// Backends changes the services that a batch job's items go to.
func (p *Planner) Backends(id string, backends []string) {
	if w := p.jobs[id]; w != nil {
		w.backends = backends
	}
}

// Return takes a task back that is to be tried again, not before a time and rather not on a server.
func (p *Planner) Return(task Task, notBefore time.Duration, avoid string) {
	w := p.jobs[task.Job]
	if w == nil {
		return
	}
	w.waiting = slices.Insert(w.waiting, 0, waiting{task: task, notBefore: notBefore, avoid: avoid})
}

// Take removes a waiting task, as one that is given up.
func (p *Planner) Take(id string, index int) {
	if w := p.jobs[id]; w != nil {
		w.waiting = slices.DeleteFunc(w.waiting, func(one waiting) bool { return one.task.Index == index })
	}
}

// Waiting lists a batch job's tasks that wait.
func (p *Planner) Waiting(id string) []Task {
	w := p.jobs[id]
	if w == nil {
		return nil
	}
	tasks := make([]Task, len(w.waiting))
	for i := range w.waiting {
		tasks[i] = w.waiting[i].task
	}
	return tasks
}

// Counts tells how many tasks wait and run.
func (p *Planner) Counts() (waiting, running int) {
	for _, w := range p.queue {
		waiting += len(w.waiting)
	}
	return waiting, p.running
}

// firstTypical is the time that a run is taken to need before any has ended.
const firstTypical = time.Second

// typicalShare is the weight of one run in the mean.
const typicalShare = 0.05

// Stores tells how many stores compete for the servers' places.
func (p *Planner) Stores(count int) { p.stores = max(count, 1) }

// Completed takes in how long a run to its end took.
func (p *Planner) Completed(took time.Duration) {
	p.typical += time.Duration(typicalShare * float64(took-p.typical))
}

// isLate tells whether items of a batch job that start now can't be in time any more.
func (p *Planner) isLate(w *work, now time.Duration) bool { return now+p.typical > w.due }

// Next gives the next task and its server, and counts it as running there; false where nothing can start now. What can't be in time
// any more lets the rest pass: to be later costs it little, and one late batch job would make all that follow late.
func (p *Planner) Next(now time.Duration) (Assignment, bool) {
	if ablation.Off(ablation.BatchLateLast) {
		return p.next(now, func(*work) bool { return true })
	}
	if assignment, found := p.next(now, func(w *work) bool { return !p.isLate(w, now) }); found {
		return assignment, true
	}
	return p.next(now, func(w *work) bool { return p.isLate(w, now) })
}

func (p *Planner) next(now time.Duration, wanted func(*work) bool) (Assignment, bool) {
	for _, w := range p.queue {
		if !wanted(w) {
			continue
		}
		index := slices.IndexFunc(w.waiting, func(one waiting) bool { return one.notBefore <= now })
		if index < 0 {
			continue
		}
		chosen := p.choose(w, &w.waiting[index], now)
		if chosen == nil {
			continue
		}
		task := w.waiting[index].task
		w.waiting = slices.Delete(w.waiting, index, index+1)
		chosen.start(task.Prefix, now)
		p.running++
		return Assignment{Task: task, Server: chosen.Server}, true
	}
	return Assignment{}, false
}

// choose gives the server with the least cost that has room, nil where none has.
func (p *Planner) choose(w *work, one *waiting, now time.Duration) *server {
	if chosen, told := p.chooseTold(w, one, now); told {
		return chosen
	}
	var best *server
	bestCost := 0.0
	for _, backend := range w.backends {
		for _, s := range p.lists[backend] {
			if !s.hasRoom(now) {
				continue
			}
			cost := p.cost(s, one, now)
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	return best
}

// Weights of a server's cost, in units of a full server.
const (
	costOtherZone = 2.0 // bytes between zones
	costAvoided   = 4.0
	gainWarm      = 0.1 // it has read the prompt's first part lately
	warmFor       = 5 * time.Second
)

func (p *Planner) cost(s *server, one *waiting, now time.Duration) float64 {
	cost := float64(s.inFlight) / s.limit
	if s.Zone != p.zone {
		cost += costOtherZone
	}
	if s.ID == one.avoid {
		cost += costAvoided
	}
	if one.task.Prefix != "" && s.isWarm(one.task.Prefix, now) && !ablation.Off(ablation.BatchWarmth) {
		cost -= gainWarm
	}
	return cost
}

package scheduler

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

// This file owns what follows where servers tell their load: items go where places are free, and leave some of them to live requests,
// fewer the nearer their batch job is due. All stores see nearly the same loads; so each draws two of the servers with room and takes
// the one with less to do.

// Load tells what is known of servers beyond what this store sees itself.
type LoadReports interface {
	// Told gives the requests that are at a server by its own word, of how many places, and when it said so; false where that isn't known.
	ReportedLoad(id string) (present, places int, at time.Duration, known bool)
	// Reading gives for how long a server reads long prompts that other processes sent.
	PrefillBacklog(id string) time.Duration
	// Fails tells whether a server fails what it gets from the processes of this zone.
	IsFailing(id string) bool
}

const (
	// reserveFar of a server's places are left free while the due time is far, reserveNear within slackNear of it, and reserveLast when
	// items have to start now. Late ones leave as many as those that have time.
	farReserve, nearReserve, lastReserve = 0.25, 0.16, 0.0
	farSlack, nearSlack                  = 3 * time.Second, time.Second
	// assumedFree is the share of the places that are taken to be free at a server of which nothing is known, where others tell.
	assumedFreeShare = 0.5
	// costPresent is that of a server whose places are all taken.
	loadCost = 1.0
	// costToldZone is that of another zone where loads are told: what is gained by more equal loads is worth its bytes.
	reportedCrossZoneCost = 0.1
	// readingMost is how long a server may have to read before an item goes there.
	maxPrefillBacklog = 100 * time.Millisecond
)

// pace holds a store to its part of the places that are free: all stores see the same ones, and learn only by the servers' next word what
// the others have taken.
type slotBudget struct {
	start time.Duration
	slots float64 // of the places that were free then
	used  int
}

// paceFor is about the time until what one store takes is known to the others.
const budgetInterval = 50 * time.Millisecond

// take takes one place of a part, which is one at least, unless all of it was taken lately.
func (p *slotBudget) tryTake(now time.Duration, part float64) bool {
	if p.used == 0 || now-p.start >= budgetInterval {
		*p = slotBudget{start: now, slots: max(part, 1)}
	}
	if p.exhausted(now) {
		return false
	}
	p.used++
	return true
}

// exhausted tells whether all of the part was taken lately.
func (p *slotBudget) exhausted(now time.Duration) bool {
	return p.used > 0 && now-p.start < budgetInterval && float64(p.used)+1 > p.slots
}

// reserve gives the share of a server's places that a batch job's items leave free.
func (p *Planner) reserve(job *queuedJob, now time.Duration) float64 {
	if ablation.Off(ablation.BatchCapacityReserve) {
		return 0
	}
	switch slack := job.deadline - now - p.meanDuration; {
	case slack < 0 || slack >= farSlack:
		return farReserve
	case slack >= nearSlack:
		return nearReserve
	}
	return lastReserve
}

// chooseTold chooses by what servers tell, nil where none has room; false where they don't tell.
func (p *Planner) pickByReportedLoad(job *queuedJob, task *queuedTask, now time.Duration) (chosen *serverState, reported bool) {
	if p.reports == nil || ablation.Off(ablation.ReportedLoad) {
		return nil, false
	}
	paced := !ablation.Off(ablation.BatchPacing)
	if paced && p.budget.exhausted(now) {
		return nil, true
	}
	usableShare := 1 - p.reserve(job, now)
	var first, second *serverState
	count, freeSlots := 0, 0.0
	for _, backend := range job.backends {
		for _, server := range p.byBackend[backend] {
			present, slots, known := p.occupancy(server, now)
			reported = reported || known
			if !server.hasCapacity(now) || float64(present+1) > usableShare*float64(slots) || p.isFailing(server) || p.isPrefilling(server) {
				continue
			}
			count++
			freeSlots += usableShare*float64(slots) - float64(present)
			if p.random.IntN(count) == 0 {
				first, second = server, first
			} else if second == nil || p.random.IntN(count-1) == 0 {
				second = server
			}
		}
	}
	if first == nil || reported && paced && !p.budget.tryTake(now, freeSlots/float64(max(p.stores, 1))) {
		return nil, reported
	}
	if second != nil && p.reportedLoadCost(second, task, now) < p.reportedLoadCost(first, task, now) {
		first = second
	}
	return first, reported
}

// present gives the requests at a server and its places, with what went there from here since it told.
func (p *Planner) occupancy(server *serverState, now time.Duration) (present, slots int, known bool) {
	present, slots, at, known := p.reports.ReportedLoad(server.ID)
	if !known {
		slots = max(server.Slots, 1)
		return int((1-assumedFreeShare)*float64(slots)) + server.inFlight, slots, false
	}
	return present + server.recent.CountSince(int64(at)), max(slots, 1), true
}

// reads tells whether a server is busy reading, so that its load as it told it is out of date.
func (p *Planner) isPrefilling(server *serverState) bool {
	return !ablation.Off(ablation.PrefixAnnouncements) && p.reports.PrefillBacklog(server.ID) > maxPrefillBacklog
}

func (p *Planner) isFailing(server *serverState) bool {
	return !ablation.Off(ablation.SharedFailures) && p.reports.IsFailing(server.ID)
}

func (p *Planner) reportedLoadCost(server *serverState, task *queuedTask, now time.Duration) float64 {
	present, slots, _ := p.occupancy(server, now)
	cost := loadCost * float64(present) / float64(slots)
	if server.Zone != p.zone {
		cost += reportedCrossZoneCost
	}
	if server.ID == task.avoid {
		cost += avoidedCost
	}
	if task.task.Prefix != "" && server.hasCachedPrefix(task.task.Prefix, now) && !ablation.Off(ablation.BatchAffinity) {
		cost -= cachedPrefixGain
	}
	return cost
}

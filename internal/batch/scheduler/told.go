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
func (p *Planner) reserve(w *queuedJob, now time.Duration) float64 {
	if ablation.Off(ablation.BatchCapacityReserve) {
		return 0
	}
	switch slack := w.deadline - now - p.meanDuration; {
	case slack < 0 || slack >= farSlack:
		return farReserve
	case slack >= nearSlack:
		return nearReserve
	}
	return lastReserve
}

// chooseTold chooses by what servers tell, nil where none has room; false where they don't tell.
func (p *Planner) pickByReportedLoad(w *queuedJob, one *queuedTask, now time.Duration) (chosen *serverState, told bool) {
	if p.reports == nil || ablation.Off(ablation.ReportedLoad) {
		return nil, false
	}
	paced := !ablation.Off(ablation.BatchPacing)
	if paced && p.budget.exhausted(now) {
		return nil, true
	}
	free := 1 - p.reserve(w, now)
	var first, second *serverState
	count, room := 0, 0.0
	for _, backend := range w.backends {
		for _, s := range p.byBackend[backend] {
			present, places, known := p.occupancy(s, now)
			told = told || known
			if !s.hasCapacity(now) || float64(present+1) > free*float64(places) || p.isFailing(s) || p.isPrefilling(s) {
				continue
			}
			count++
			room += free*float64(places) - float64(present)
			if p.random.IntN(count) == 0 {
				first, second = s, first
			} else if second == nil || p.random.IntN(count-1) == 0 {
				second = s
			}
		}
	}
	if first == nil || told && paced && !p.budget.tryTake(now, room/float64(max(p.stores, 1))) {
		return nil, told
	}
	if second != nil && p.reportedLoadCost(second, one, now) < p.reportedLoadCost(first, one, now) {
		first = second
	}
	return first, told
}

// present gives the requests at a server and its places, with what went there from here since it told.
func (p *Planner) occupancy(s *serverState, now time.Duration) (present, places int, known bool) {
	present, places, at, known := p.reports.ReportedLoad(s.ID)
	if !known {
		places = max(s.Slots, 1)
		return int((1-assumedFreeShare)*float64(places)) + s.inFlight, places, false
	}
	return present + s.recent.CountSince(int64(at)), max(places, 1), true
}

// reads tells whether a server is busy reading, so that its load as it told it is out of date.
func (p *Planner) isPrefilling(s *serverState) bool {
	return !ablation.Off(ablation.PrefixAnnouncements) && p.reports.PrefillBacklog(s.ID) > maxPrefillBacklog
}

func (p *Planner) isFailing(s *serverState) bool {
	return !ablation.Off(ablation.SharedFailures) && p.reports.IsFailing(s.ID)
}

func (p *Planner) reportedLoadCost(s *serverState, one *queuedTask, now time.Duration) float64 {
	present, places, _ := p.occupancy(s, now)
	cost := loadCost * float64(present) / float64(places)
	if s.Zone != p.zone {
		cost += reportedCrossZoneCost
	}
	if s.ID == one.avoid {
		cost += avoidedCost
	}
	if one.task.Prefix != "" && s.hasCachedPrefix(one.task.Prefix, now) && !ablation.Off(ablation.BatchAffinity) {
		cost -= cachedPrefixGain
	}
	return cost
}

package scheduler

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

// LoadReports returns what is known of servers beyond what this store observes itself: servers report their
// load with each answer, and processes share these reports.
type LoadReports interface {
	// ReportedLoad returns the load that a server reported last; false if none is known.
	ReportedLoad(id string) (ReportedLoad, bool)
	// PrefillBacklog returns for how long a server is busy with long prompts that any process announced.
	PrefillBacklog(id string) time.Duration
	// IsFailing reports whether a server fails what the processes of this zone send to it.
	IsFailing(id string) bool
}

// ReportedLoad is a server's report of its load.
type ReportedLoad struct {
	InFlight int           // requests at the server
	Slots    int           // requests that it processes at a time
	At       time.Duration // when it reported this, on the planner's clock
}

// Shares of a server's slots that items leave free for live requests. The less slack an item has, the
// fewer; one that has missed its deadline leaves as many as one that has time.
const (
	farReserve  = 0.25 // with slack of farSlack or more, or none
	nearReserve = 0.16 // with slack of nearSlack or more
	lastReserve = 0.0  // with less slack

	farSlack  = 3 * time.Second
	nearSlack = time.Second
)

const (
	// assumedFreeShare is the share of slots that are taken to be free at a server without a report, where
	// others have one.
	assumedFreeShare = 0.5
	// reportedCrossZoneCost takes the place of crossZoneCost: where loads are reported, more equal ones are
	// worth the traffic between zones.
	reportedCrossZoneCost = 0.1
	// maxPrefillBacklog is the longest prefill backlog at which a server gets items.
	maxPrefillBacklog = 100 * time.Millisecond
)

// reserve returns the share of a server's slots that a batch job's items leave free.
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

// pickByReportedLoad returns a server by reported loads, nil if none has a slot for the task or the store's
// budget is used up; false if no server of the batch job has reported a load.
func (p *Planner) pickByReportedLoad(
	job *queuedJob, task *queuedTask, now time.Duration,
) (chosen *serverState, reported bool) {
	if p.reports == nil || ablation.Off(ablation.ReportedLoad) {
		return nil, false
	}
	paced := !ablation.Off(ablation.BatchPacing)
	if paced && p.budget.exhausted(now) {
		return nil, true
	}
	usableShare := 1 - p.reserve(job, now)
	var first, second *serverState // two samples of the candidates so far
	candidates, freeSlots := 0, 0.0
	for _, backend := range job.backends {
		for _, server := range p.byBackend[backend] {
			inFlight, slots, known := p.occupancy(server)
			reported = reported || known
			usable := usableShare * float64(slots)
			if !server.hasCapacity(now) || float64(inFlight+1) > usable ||
				p.isFailing(server) || p.isPrefilling(server) {
				continue
			}
			candidates++
			freeSlots += usable - float64(inFlight)
			if p.random.IntN(candidates) == 0 {
				first, second = server, first
			} else if second == nil || p.random.IntN(candidates-1) == 0 {
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

// occupancy returns the requests that are taken to be at a server and its slots, and whether that is from a
// report. What this store sent since the report is added to it.
func (p *Planner) occupancy(server *serverState) (inFlight, slots int, known bool) {
	load, known := p.reports.ReportedLoad(server.ID)
	if !known {
		slots = max(server.Slots, 1)
		return int((1-assumedFreeShare)*float64(slots)) + server.inFlight, slots, false
	}
	return load.InFlight + server.recent.CountSince(int64(load.At)), max(load.Slots, 1), true
}

// isPrefilling reports whether a server is busy with long prompts, so that the load that it reported is out
// of date.
func (p *Planner) isPrefilling(server *serverState) bool {
	return !ablation.Off(ablation.PrefixAnnouncements) && p.reports.PrefillBacklog(server.ID) > maxPrefillBacklog
}

// isFailing reports whether a server fails what is sent to it.
func (p *Planner) isFailing(server *serverState) bool {
	return !ablation.Off(ablation.SharedFailures) && p.reports.IsFailing(server.ID)
}

// reportedLoadCost is cost by the reported load.
func (p *Planner) reportedLoadCost(server *serverState, task *queuedTask, now time.Duration) float64 {
	inFlight, slots, _ := p.occupancy(server)
	return p.cost(server, task, float64(inFlight)/float64(slots), reportedCrossZoneCost, now)
}

package scheduler

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

// LoadReports provides server state that goes beyond this store's own observations: servers report their
// load with each answer, and processes share these reports.
type LoadReports interface {
	// ReportedLoad returns the load that a server reported last, and false if no report is known.
	ReportedLoad(id string) (ReportedLoad, bool)
	// PrefillBacklog returns how long a server will be busy with long prompts that any process announced.
	PrefillBacklog(id string) time.Duration
	// IsFailing reports whether a server fails the requests that the processes of this zone send to it.
	IsFailing(id string) bool
}

// ReportedLoad is a server's report of its load.
type ReportedLoad struct {
	InFlight int           // requests at the server
	Slots    int           // requests that the server processes at a time
	At       time.Duration // time of the report on the planner's clock
}

// Shares of a server's slots that items leave free for live requests. The slack of an item is the time from
// its expected end to its deadline. Items with less slack leave fewer slots free; an item that is expected
// to miss its deadline leaves as many as one with plenty of slack.
const (
	maxReserve = 0.25 // slack of longSlack or more, or negative slack
	midReserve = 0.16 // slack of shortSlack or more
	minReserve = 0.0  // less slack

	longSlack  = 3 * time.Second
	shortSlack = time.Second
)

const (
	// assumedFreeShare is the share of slots that is assumed to be free at a server without a report, where
	// other servers have one.
	assumedFreeShare = 0.5
	// reportedCrossZoneCost replaces crossZoneCost where loads are reported: there, more equal loads are
	// worth the traffic between zones.
	reportedCrossZoneCost = 0.1
	// maxPrefillBacklog is the longest prefill backlog with which a server still gets items.
	maxPrefillBacklog = 100 * time.Millisecond
)

// reserve returns the share of a server's slots that a batch job's items leave free for live requests.
func (p *Planner) reserve(job *queuedJob, now time.Duration) float64 {
	if ablation.Off(ablation.BatchCapacityReserve) {
		return 0
	}
	switch slack := job.deadline - now - p.meanDuration; {
	case slack < 0 || slack >= longSlack:
		return maxReserve
	case slack >= shortSlack:
		return midReserve
	}
	return minReserve
}

// pickByReportedLoad picks a server by reported loads. It returns nil if no server has a slot for the task
// or the store's slot budget is used up. reported is false if loads are not in use, or no server of the batch
// job has reported a load; a server that is returned with it was picked by assumed loads and is ignored.
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
	var first, second *serverState // two random samples of the candidates seen so far
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

// occupancy returns the estimated number of requests at a server, its slots, and whether the estimate is
// based on a report. Items that this store sent since the report are added to it.
func (p *Planner) occupancy(server *serverState) (inFlight, slots int, known bool) {
	load, known := p.reports.ReportedLoad(server.ID)
	if !known {
		slots = max(server.Slots, 1)
		return int((1-assumedFreeShare)*float64(slots)) + server.inFlight, slots, false
	}
	return load.InFlight + server.recent.CountSince(int64(load.At)), max(load.Slots, 1), true
}

// isPrefilling reports whether a server is busy with long prompts. Its reported load is out of date then.
func (p *Planner) isPrefilling(server *serverState) bool {
	return !ablation.Off(ablation.PrefixAnnouncements) && p.reports.PrefillBacklog(server.ID) > maxPrefillBacklog
}

// isFailing reports whether a server fails the requests that this zone sends to it.
func (p *Planner) isFailing(server *serverState) bool {
	return !ablation.Off(ablation.SharedFailures) && p.reports.IsFailing(server.ID)
}

// reportedLoadCost returns the cost of running a task at a server, based on the server's reported load.
func (p *Planner) reportedLoadCost(server *serverState, task *queuedTask, now time.Duration) float64 {
	inFlight, slots, _ := p.occupancy(server)
	return p.cost(server, task, float64(inFlight)/float64(slots), reportedCrossZoneCost, now)
}

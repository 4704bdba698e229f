package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
)

// Reservation is a request's place at a server, from its selection to Done. It is for use by one goroutine.
type Reservation struct {
	Server *endpoints.Server

	selector         *Selector
	state            *serverState // of the server; guarded by the selector's mu
	prefillTokens    int
	reportedInFlight int
	startedAt        time.Time
	waiting          bool // the first response hasn't arrived
	done             bool
}

// reserve counts a request at the selected server and returns its reservation. mu is held.
func (s *Selector) reserve(now time.Time, selected candidate, workload *Workload) *Reservation {
	state := selected.state
	r := &Reservation{Server: selected.server, selector: s, state: state, startedAt: now, waiting: true}
	r.prefillTokens = workload.PromptTokens - state.cache.cachedTokens(workload.Prefixes, now)
	r.reportedInFlight = s.reportedInFlight(now, selected.server, state)
	if state.awaitingFirst == 0 {
		state.lastProgress = now
	}
	state.inFlight++
	state.awaitingFirst++
	state.pendingTokens += r.prefillTokens
	state.lastUsed = now
	state.recent.Add(now.UnixNano())
	if !ablation.Off(ablation.PrefixCacheModel) {
		state.cache.record(workload.Prefixes, now)
	}
	s.sweep(now)
	return r
}

// PrefillTokens returns the estimated number of prompt tokens that the server has to read because its cache doesn't
// hold them.
func (r *Reservation) PrefillTokens() int { return r.prefillTokens }

// ReportedInFlight returns the number of requests at the server when it was selected: those that it last reported,
// plus those that this gateway sent it since. It returns 0 if the load wasn't known.
func (r *Reservation) ReportedInFlight() int { return r.reportedInFlight }

// FirstResponse records that the first part of the response has arrived.
func (r *Reservation) FirstResponse(now time.Time) {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	if r.waiting {
		r.endWaiting()
		r.selector.observeLatency(now, r.state, now.Sub(r.startedAt))
	}
	r.state.lastProgress = now
}

// Progress records that the server has sent more of the response.
func (r *Reservation) Progress(now time.Time) {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	r.state.lastProgress = now
}

// endWaiting removes the request from the counts of those that await their first response. mu is held.
func (r *Reservation) endWaiting() {
	r.waiting = false
	r.state.awaitingFirst--
	r.state.pendingTokens -= r.prefillTokens
}

// stallTimeout is the longest time for which a working server sends nothing to any request of this gateway, in
// addition to the time for reading the prompts that wait there.
const stallTimeout = 400 * time.Millisecond

// Stalled reports whether the server has sent nothing to any request of this gateway for so long that the request
// should be retried at another server: for stallTimeout and twice the estimated time for reading the prompts that
// wait there.
func (r *Reservation) Stalled(now time.Time) bool {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	prefill := time.Duration(float64(r.state.pendingTokens) / prefillTokensPerMs * float64(time.Millisecond))
	return now.Sub(r.state.lastProgress) > stallTimeout+2*prefill
}

// abandonedFailureAfter is the time after which an abandoned request that got no first response counts as a failure
// of the server.
const abandonedFailureAfter = time.Second

// Done ends the reservation with the attempt's result. Only the first call has an effect.
func (r *Reservation) Done(now time.Time, result Result) {
	r.selector.mu.Lock()
	defer r.selector.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	if r.waiting {
		r.endWaiting()
		if result == Abandoned && now.Sub(r.startedAt) > abandonedFailureAfter {
			result = Broken
		}
	}
	r.state.inFlight--
	r.state.lastUsed = now
	if result != Abandoned && result != Unreachable && result != Broken {
		r.state.lastProgress = now
	}
	r.state.ejection.record(result, now)
	switch result {
	case Succeeded:
		r.selector.loads.RecordResult(now, r.Server.Hash, false)
	case Failed, Broken, Unreachable:
		r.selector.loads.RecordResult(now, r.Server.Hash, true)
	}
}

package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
)

// Reservation is a request's place at a server, from its selection to Done. It belongs to one goroutine.
type Reservation struct {
	Server *endpoints.Server

	selector         *Selector
	state            *serverState // of the server; guarded by the selector's mu
	prefillTokens    int
	reportedInFlight int
	startedAt        time.Time
	waiting          bool // for the first response
	done             bool
}

// reserve counts a request at the selected server. mu is held.
func (p *Selector) reserve(now time.Time, selected candidate, workload *Workload) *Reservation {
	s := selected.state
	t := &Reservation{Server: selected.server, selector: p, state: s, startedAt: now, waiting: true}
	t.prefillTokens = workload.PromptTokens - s.cache.cachedTokens(workload.Prefixes, now)
	t.reportedInFlight = p.reportedInFlight(now, selected.server, s)
	if s.awaitingFirst == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	s.awaitingFirst++
	s.pendingTokens += t.prefillTokens
	s.lastUsed = now
	s.recent.Add(now.UnixNano())
	if !ablation.Off(ablation.PrefixCacheModel) {
		s.cache.record(workload.Prefixes, now)
	}
	p.sweep(now)
	return t
}

// PrefillTokens returns the estimated number of prompt tokens that the server has to read, as its cache lacks them.
func (t *Reservation) PrefillTokens() int { return t.prefillTokens }

// ReportedInFlight returns how many requests were at the server when it was selected: those that it reported, and what
// this gateway sent it since. 0 if it doesn't report its load.
func (t *Reservation) ReportedInFlight() int { return t.reportedInFlight }

// FirstResponse notes that the first part of the response has arrived.
func (t *Reservation) FirstResponse(now time.Time) {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	if t.waiting {
		t.endWaiting()
		t.selector.observeLatency(now, t.state, now.Sub(t.startedAt))
	}
	t.state.lastProgress = now
}

// Progress notes that the server has sent more of the response.
func (t *Reservation) Progress(now time.Time) {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	t.state.lastProgress = now
}

func (t *Reservation) endWaiting() {
	t.waiting = false
	t.state.awaitingFirst--
	t.state.pendingTokens -= t.prefillTokens
}

// stallTimeout is how long a working server may leave all requests that wait there without a response, beside the time
// for reading their prompts.
const stallTimeout = 400 * time.Millisecond

// Stalled reports whether the server has sent nothing, to any request of this gateway, for so long that the request is
// better retried elsewhere. The time for reading the prompts that wait there is allowed for twice.
func (t *Reservation) Stalled(now time.Time) bool {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	prefill := time.Duration(float64(t.state.pendingTokens) / prefillTokensPerMs * float64(time.Millisecond))
	return now.Sub(t.state.lastProgress) > stallTimeout+2*prefill
}

// abandonedFailureAfter is the wait after which a request that is given up without a first response counts as the
// server's failure.
const abandonedFailureAfter = time.Second

// Done ends the reservation with the attempt's result. Only the first call counts.
func (t *Reservation) Done(now time.Time, result Result) {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	if t.waiting {
		t.endWaiting()
		if result == Abandoned && now.Sub(t.startedAt) > abandonedFailureAfter {
			result = Broken
		}
	}
	t.state.inFlight--
	t.state.lastUsed = now
	if result != Abandoned && result != Unreachable && result != Broken {
		t.state.lastProgress = now
	}
	t.state.ejection.record(result, now)
	switch result {
	case Succeeded:
		t.selector.loads.RecordResult(now, t.Server.Hash, false)
	case Failed, Broken, Unreachable:
		t.selector.loads.RecordResult(now, t.Server.Hash, true)
	}
}

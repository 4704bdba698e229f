package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/serverload"
)

// Costs are in prompt tokens that the server would have to read before the request's first token.
const (
	// ownRequestCost is the cost of each of this gateway's requests in flight at a server that doesn't report its
	// load: each makes every decoding step a little longer.
	ownRequestCost = 60
	// reportedRequestCost is the cost of each request in flight at a server that reports its load.
	// queuedRequestCost is the additional cost of each that waits there for a slot ahead of a new request.
	reportedRequestCost, queuedRequestCost = 300, 5000
	// crossZoneCost is the cost of a server in another zone, for the zone crossings and the price of the bytes.
	crossZoneCost = 200
	// maxStallPenalty and maxLatencyPenalty are the largest penalties of a server.
	maxStallPenalty, maxLatencyPenalty = 50_000, 20_000
	// jitter is the upper bound of the random part of the cost.
	jitter = 120
	// prefillTokensPerMs converts time into prompt tokens.
	prefillTokensPerMs = serverload.PrefillTokensPerMs
)

// cost estimates how long a request waits for its first token at a server, in tokens. mu is held.
func (s *Selector) cost(now time.Time, server *endpoints.Server, state *serverState, workload *Workload,
	preferred affinityOrder) float64 {
	cached := state.cache.cachedTokens(workload.Prefixes, now)
	if shared := workload.shared(); len(shared) > 0 {
		all := float64(shared[len(shared)-1].Tokens)
		cached = max(cached, int(preferred.cachedShare(server.Number)*all))
	}
	cost := float64(workload.PromptTokens-cached) + float64(state.pendingTokens) + s.loadCost(now, server, state)
	if server.Zone != s.zone && !ablation.Off(ablation.ZonePreference) {
		cost += crossZoneCost
	}
	return cost + s.announcedPrefill(now, server) + state.stallPenalty(now) + s.latencyPenalty(now, state) +
		jitter*s.random.Float64()
}

// announcedPrefill returns the tokens that a server still has to read of long prompts announced by other processes.
func (s *Selector) announcedPrefill(now time.Time, server *endpoints.Server) float64 {
	if ablation.Off(ablation.PrefixAnnouncements) {
		return 0
	}
	return prefillTokensPerMs * float64(s.loads.PrefillTime(now, server.Hash)) / float64(time.Millisecond)
}

// stallPenalty returns the penalty of a server that sends nothing while requests of this gateway wait for their
// first response: a new request is expected to wait for as long as the server has sent nothing.
func (s *serverState) stallPenalty(now time.Time) float64 {
	if s.awaitingFirst == 0 || ablation.Off(ablation.TimeoutWeighting) {
		return 0
	}
	return min(maxStallPenalty, prefillTokensPerMs*float64(now.Sub(s.lastProgress))/float64(time.Millisecond))
}

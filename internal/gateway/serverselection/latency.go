package serverselection

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// Weights of one latency in the exponentially weighted moving averages of its server and over all
	// servers.
	serverLatencyWeight, overallLatencyWeight = 0.2, 0.02
	// latencyDecay is the time in which the penalty for a server's latency decays to 1/e without new
	// requests, so that the server is tried again.
	latencyDecay = 3 * time.Second
)

// observeLatency updates the averages with the time for which a request waited for its first response. mu is held.
func (s *Selector) observeLatency(now time.Time, state *serverState, latency time.Duration) {
	ms := float64(latency) / float64(time.Millisecond)
	if s.meanLatency == 0 {
		s.meanLatency = ms
	}
	s.meanLatency += overallLatencyWeight * (ms - s.meanLatency)
	if state.latencyAt.IsZero() {
		state.meanLatency = s.meanLatency
	}
	state.meanLatency += serverLatencyWeight * (ms - state.meanLatency)
	state.latencyAt = now
}

// latencyPenalty returns the penalty of a server whose mean latency exceeds that of all servers. mu is held.
func (s *Selector) latencyPenalty(now time.Time, state *serverState) float64 {
	if state.meanLatency <= s.meanLatency || ablation.Off(ablation.LatencyWeighting) {
		return 0
	}
	factor := math.Exp(-float64(now.Sub(state.latencyAt)) / float64(latencyDecay))
	return min(maxLatencyPenalty, prefillTokensPerMs*(state.meanLatency-s.meanLatency)*factor)
}

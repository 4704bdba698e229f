package serverselection

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// Weights of one latency in the exponentially weighted moving averages of its server and over all servers.
	serverLatencyWeight, overallLatencyWeight = 0.2, 0.02
	// latencyDecay is the time in which the penalty for a server's latency decays to 1/e without new requests, so that
	// the server is tried again.
	latencyDecay = 3 * time.Second
)

// observeLatency takes in how long a request waited for its first response. mu is held.
func (p *Selector) observeLatency(now time.Time, state *serverState, latency time.Duration) {
	ms := float64(latency) / float64(time.Millisecond)
	if p.meanLatency == 0 {
		p.meanLatency = ms
	}
	p.meanLatency += overallLatencyWeight * (ms - p.meanLatency)
	if state.latencyAt.IsZero() {
		state.meanLatency = p.meanLatency
	}
	state.meanLatency += serverLatencyWeight * (ms - state.meanLatency)
	state.latencyAt = now
}

// latencyPenalty returns the penalty of a server that is slower than the average. mu is held.
func (p *Selector) latencyPenalty(now time.Time, state *serverState) float64 {
	if state.meanLatency <= p.meanLatency || ablation.Off(ablation.LatencyWeighting) {
		return 0
	}
	left := math.Exp(-float64(now.Sub(state.latencyAt)) / float64(latencyDecay))
	return min(maxLatencyPenalty, prefillTokensPerMs*(state.meanLatency-p.meanLatency)*left)
}

package serverselection

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// learnShare is the weight of one time in a server's mean, learnAll that in the mean over all.
	serverLatencyWeight, overallLatencyWeight = 0.2, 0.02
	// slowMost bounds what slowness adds to a server's cost.
	maxLatencyPenalty = 20_000
)

// learn takes in how long a request waited for a first sign.
func (p *Selector) observeLatency(now time.Time, s *serverState, delay time.Duration) {
	ms := float64(delay) / float64(time.Millisecond)
	if p.meanLatency == 0 {
		p.meanLatency = ms
	}
	p.meanLatency += overallLatencyWeight * (ms - p.meanLatency)
	if s.latencyAt.IsZero() {
		s.meanLatency = p.meanLatency
	}
	s.meanLatency += serverLatencyWeight * (ms - s.meanLatency)
	s.latencyAt = now
}

// slowness gives what a server is slower than others, in tokens; it is forgotten with time, so that the server is asked again.
func (p *Selector) latencyPenalty(now time.Time, s *serverState) float64 {
	if s.meanLatency <= p.meanLatency || ablation.Off(ablation.LatencyWeighting) {
		return 0
	}
	left := math.Exp(-float64(now.Sub(s.latencyAt)) / float64(latencyDecay))
	return min(maxLatencyPenalty, prefillTokensPerMs*(s.meanLatency-p.meanLatency)*left)
}

package serverselection

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// learnShare is the weight of one time in a server's mean, learnAll that in the mean over all.
	learnShare, learnAll = 0.2, 0.02
	// slowMost bounds what slowness adds to a server's cost.
	slowMost = 20_000
)

// learn takes in how long a request waited for a first sign.
func (p *Placer) learn(now time.Time, s *state, delay time.Duration) {
	ms := float64(delay) / float64(time.Millisecond)
	if p.delay == 0 {
		p.delay = ms
	}
	p.delay += learnAll * (ms - p.delay)
	if s.delayed.IsZero() {
		s.delay = p.delay
	}
	s.delay += learnShare * (ms - s.delay)
	s.delayed = now
}

// slowness gives what a server is slower than others, in tokens; it is forgotten with time, so that the server is asked again.
func (p *Placer) slowness(now time.Time, s *state) float64 {
	if s.delay <= p.delay || ablation.Off(ablation.Slowness) {
		return 0
	}
	left := math.Exp(-float64(now.Sub(s.delayed)) / float64(slowMemory))
	return min(slowMost, tokensPerMs*(s.delay-p.delay)*left)
}

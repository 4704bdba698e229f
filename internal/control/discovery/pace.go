package discovery

import "time"

// pace spreads calls over time: a few at once, and then as the rate allows.
type rateLimiter struct {
	interval time.Duration // between two calls
	burst    time.Duration // that calls may run ahead of the gaps
	nextAt   time.Time     // of the next call, as if none had run ahead
}

func newRateLimiter(rate float64) rateLimiter {
	if rate <= 0 {
		return rateLimiter{}
	}
	return rateLimiter{interval: time.Duration(float64(time.Second) / (rate * rateShare)), burst: time.Duration(burstSeconds * float64(time.Second))}
}

// next gives how long a call must wait that would go now, and counts it.
func (p *rateLimiter) reserve(now time.Time) time.Duration {
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	wait := max(0, p.nextAt.Sub(now)-p.burst)
	p.nextAt = p.nextAt.Add(p.interval)
	return wait
}

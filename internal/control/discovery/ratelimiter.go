package discovery

import "time"

// rateLimiter limits calls to a rate and allows bursts, by the generic cell rate algorithm (GCRA). It isn't safe
// for concurrent use.
type rateLimiter struct {
	interval time.Duration // between two calls
	burst    time.Duration // how far calls may be ahead of nextAt
	nextAt   time.Time     // time of the next call without a burst (the theoretical arrival time)
}

// newRateLimiter returns a limiter to rateShare of a rate in calls per second; 0 means no limit.
func newRateLimiter(rate float64) rateLimiter {
	if rate <= 0 {
		return rateLimiter{}
	}
	return rateLimiter{
		interval: time.Duration(float64(time.Second) / (rate * rateShare)),
		burst:    time.Duration(burstSeconds * float64(time.Second)),
	}
}

// reserve reserves the next call and returns how long it must wait from now.
func (l *rateLimiter) reserve(now time.Time) time.Duration {
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	wait := max(0, l.nextAt.Sub(now)-l.burst)
	l.nextAt = l.nextAt.Add(l.interval)
	return wait
}

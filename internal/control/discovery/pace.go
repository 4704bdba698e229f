package discovery

import "time"

// pace spreads calls over time: a few at once, and then as the rate allows.
type pace struct {
	gap   time.Duration // between two calls
	burst time.Duration // that calls may run ahead of the gaps
	due   time.Time     // of the next call, as if none had run ahead
}

func newPace(rate float64) pace {
	if rate <= 0 {
		return pace{}
	}
	return pace{gap: time.Duration(float64(time.Second) / (rate * rateShare)), burst: time.Duration(burstSeconds * float64(time.Second))}
}

// next gives how long a call must wait that would go now, and counts it.
func (p *pace) next(now time.Time) time.Duration {
	if p.due.Before(now) {
		p.due = now
	}
	wait := max(0, p.due.Sub(now)-p.burst)
	p.due = p.due.Add(p.gap)
	return wait
}

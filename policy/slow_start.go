package policy

import (
	"math"

	"sprucelane.example/sprucelane/internal/ratelimit"
)

// Slow start: the limit on attempts to servers that have just started.

// warmth returns the least share of its full capacity that a server has, by the time since its start. It is 1 for a
// warm server.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt == 0 || age >= g.cfg.WarmupTime || g.cfg.WarmupTime <= 0 {
		return 1
	}
	from := math.Max(0.01, g.cfg.InitialWarmth)
	return from + (1-from)*math.Max(0, age.Seconds())/g.cfg.WarmupTime.Seconds()
}

// withinSlowStartBudget reports whether a server's slow-start budget allows one more attempt; a warm server has no such
// limit. What the server can do is estimated from what it has served here while cold and from what warm servers serve.
func (g *Gateway) withinSlowStartBudget(s *server) bool {
	warmth := g.warmth(s)
	limit := ratelimit.SlowStartLimit{Window: g.cfg.SlowStartWindow, Multiple: g.cfg.SlowStartMultiple,
		Gateways: g.cfg.Gateways,
		Capacity: math.Max(warmth*g.warmThroughput, s.coldThroughput(g)), Slowdown: g.coldLatency.smoothed()}
	return warmth >= 1 || limit.Window <= 0 || limit.Multiple <= 0 || s.slowStartBudget.Allows(g.now, limit)
}

package core

import (
	"context"
	"log/slog"
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// stormGuard connects internal/storm to the core. It is called under the core's mutex, and its messages are queued as
// those of policy are. A nil stormGuard admits everything.
type stormGuard struct {
	*storm.Guard
	self, gateways int
	phase          storm.Phase // as last logged
	ticks          int
}

// EnableStormControl turns the control of retry storms on. It must be called before the first transaction.
func (c *Core) EnableStormControl(cfg policy.Settings, opt storm.Options) {
	opt.Self, opt.Gateways = cfg.Self, cfg.Gateways
	opt.Classes, opt.Prices = stormClasses(cfg), stormPrices(cfg)
	if cfg.MaxRetryAfter > 0 && (opt.MaxRetryAfter <= 0 || cfg.MaxRetryAfter < opt.MaxRetryAfter) {
		opt.MaxRetryAfter = cfg.MaxRetryAfter // the site's limit on Retry-After
	}
	g := &stormGuard{Guard: storm.New(opt), self: cfg.Self, gateways: cfg.Gateways}
	c.mu.Lock()
	c.storm = g
	c.mu.Unlock()
}

// RunStormControl ticks the storm control until ctx ends.
func (c *Core) RunStormControl(ctx context.Context) {
	ticker := time.NewTicker(storm.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.handle(func(now Time) { c.stormTick(now) })
		case <-ctx.Done():
			return
		}
	}
}

// stormTick passes the gateway's measurements to the storm control and queues its message to the peers. It queues a log
// line when the phase has changed, and once a second outside of storm.Calm. The mutex is held.
func (c *Core) stormTick(now Time) {
	g := c.storm
	var seen storm.Members
	for _, o := range c.current.gateway.Observe(now) {
		seen.Listed++
		seen.Warmth += o.Warmth
		seen.Overdue += o.Overdue
	}
	seen.Warmth /= math.Max(float64(seen.Listed), 1)
	message := g.Tick(now, seen)
	for p := range g.gateways {
		if p != g.self && message != nil && c.sendToPeer != nil {
			c.pendingMessages = append(c.pendingMessages, peerMessage{p, message})
		}
	}
	stats := g.Stats()
	g.ticks++
	if stats.Phase != g.phase || stats.Phase != storm.Calm && g.ticks%ticksPerLogLine == 0 {
		g.phase = stats.Phase
		c.pendingLogs = append(c.pendingLogs, stormLogLine(stats, seen))
	}
}

// ticksPerLogLine is the number of ticks between log lines during a storm, which are one second apart.
const ticksPerLogLine = int(time.Second / storm.TickInterval)

// stormLogLine returns the log line on a storm.
func stormLogLine(stats storm.Stats, seen storm.Members) logLine {
	recent := stats.Recent
	return logLine{"storm", []slog.Attr{slog.String("phase", stats.Phase.String()),
		rounded("sure", stats.Confidence, 2), rounded("limit", stats.Limit, 1), rounded("usual", stats.Baseline, 1),
		rounded("warmth", seen.Warmth, 2), rounded("firsts", recent.FirstAttempts, 0),
		rounded("repeats", recent.Retries, 0), rounded("admitted", recent.Admitted, 0),
		rounded("held", recent.Rejected, 0), rounded("in_time", recent.InTime, 0), rounded("late", recent.Late, 0),
		rounded("lost", recent.Failed, 0), slog.Int("overdue", seen.Overdue)}}
}

// rounded returns an attribute whose value is rounded to a number of decimal digits.
func rounded(key string, x float64, digits int) slog.Attr {
	scale := math.Pow10(digits)
	return slog.Float64(key, math.Round(scale*x)/scale)
}

// StormMessage handles a storm control message from a peer.
func (c *Core) StormMessage(from int, message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm != nil {
		c.storm.Receive(c.Now(), from, message)
	}
}

// AdmitConnection reports whether a new connection of a client may be accepted.
func (c *Core) AdmitConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storm == nil || c.storm.AdmitConnection(c.Now())
}

// StormCounters returns the storm control's counters, or nil if it is off.
func (c *Core) StormCounters() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm == nil {
		return nil
	}
	stats := c.storm.Stats()
	return Counts{slog.String("phase", stats.Phase.String()), rounded("sure", stats.Confidence, 2),
		rounded("limit", stats.Limit, 1), rounded("usual", stats.Baseline, 1), slog.Uint64("storms", stats.Storms),
		slog.Uint64("refused", stats.Rejected), slog.Uint64("refused_retries", stats.RejectedRetries),
		slog.Uint64("repeats", stats.Retries), slog.Uint64("connections_closed", stats.RejectedConnections),
		slog.Uint64("falls", stats.RampDecreases), slog.Uint64("heard", stats.MessagesReceived),
		slog.Uint64("odd", stats.MessagesDropped)}
}

// stormVerdict reports whether the storm control refuses a transaction, and the Retry-After of the refusal. A refused
// transaction ends here: it isn't passed to policy and draws no units.
func (c *Core) stormVerdict(tx *transaction) (refused bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm == nil {
		return false, 0
	}
	tx.arrival = storm.Arrival{Account: uint64(tx.Customer), Class: tx.Class, Plan: tx.Plan, Units: tx.Units,
		MarkedRetry: tx.ClientRetry}
	decision := c.storm.Admit(c.Now(), tx.arrival)
	if !decision.Admit {
		c.close(tx)
	}
	return !decision.Admit, decision.RetryAfter
}

// refusalWait returns the Retry-After of a refusal, where wait is the one outside of storms.
func (c *Core) refusalWait(tx *transaction, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storm.refusalWait(c.Now(), tx, wait)
}

// refusalWait returns the Retry-After of a refusal, where wait is the one outside of storms. The core's mutex is held.
func (g *stormGuard) refusalWait(now Time, tx *transaction, wait time.Duration) time.Duration {
	if g == nil {
		return wait
	}
	return g.Rejected(now, tx.arrival, wait)
}

// recordFailed records that a transaction failed or that its client left before the answer. The core's mutex is held.
func (g *stormGuard) recordFailed(now Time, tx *transaction) {
	if g != nil {
		g.Failed(now, tx.arrival)
	}
}

// recordAttempt counts the end of an attempt, except ends that say nothing about the servers. The core's mutex is held.
func (g *stormGuard) recordAttempt(now Time, a *Attempt, end End) {
	if g == nil {
		return
	}
	target := a.transaction.generation.cfg.Classes[a.transaction.Class].LatencyTarget
	switch {
	case end == EndServed && now-a.sentAt <= target:
		g.AttemptEnded(now, storm.InTime)
	case end == EndServed:
		g.AttemptEnded(now, storm.Late)
	case endTable[end].failed:
		g.AttemptEnded(now, storm.Failed)
	}
}

// reconfigure passes the classes and plans now in force to the storm control. The core's mutex is held.
func (g *stormGuard) reconfigure(cfg policy.Settings) {
	if g != nil {
		g.Configure(stormClasses(cfg), stormPrices(cfg))
	}
}

// stormClasses converts the settings' classes for the storm control.
func stormClasses(cfg policy.Settings) (list []storm.Class) {
	for _, class := range cfg.Classes {
		list = append(list, storm.Class{LatencyTarget: class.LatencyTarget, Value: class.Value,
			NonIdempotent: class.Idempotency == policy.NotIdempotent})
	}
	return list
}

// stormPrices returns the plans' value multipliers.
func stormPrices(cfg policy.Settings) (list []float64) {
	for _, p := range cfg.Plans {
		list = append(list, p.ValueMultiplier)
	}
	return list
}

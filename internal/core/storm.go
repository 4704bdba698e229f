package core

import (
	"context"
	"log/slog"
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// stormGuard ties internal/storm to the core: it is given events under the core's mutex, and what it sends is queued
// as the actions of policy are. A nil one admits everything.
type stormGuard struct {
	*storm.Guard
	self, gateways int
	phase          storm.Phase // as last logged
	ticks          int
}

// EnableStormControl makes the core control retry storms. It must be called before the first transaction.
func (c *Core) EnableStormControl(cfg policy.Settings, opt storm.Options) {
	opt.Self, opt.Gateways = cfg.Self, cfg.Gateways
	opt.Classes, opt.Prices = stormClasses(cfg), stormPrices(cfg)
	if cfg.MaxRetryAfter > 0 && (opt.MaxRetryAfter <= 0 || cfg.MaxRetryAfter < opt.MaxRetryAfter) {
		opt.MaxRetryAfter = cfg.MaxRetryAfter // the site's limit on waits
	}
	g := &stormGuard{Guard: storm.New(opt), self: cfg.Self, gateways: cfg.Gateways}
	c.mu.Lock()
	c.storm = g
	c.mu.Unlock()
}

// RunStormControl gives the storm control its ticks until ctx ends.
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

// stormTick gives the storm control what the gateway has measured, and queues its message to peers and its log line:
// where its phase has changed, and once a second while there is a storm. The mutex is held.
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

// ticksPerLogLine is how many ticks of a storm make a log line: one a second.
const ticksPerLogLine = int(time.Second / storm.TickInterval)

// stormLogLine gives the log line of a storm.
func stormLogLine(stats storm.Stats, seen storm.Members) logLine {
	recent := stats.Recent
	return logLine{"storm", []slog.Attr{slog.String("phase", stats.Phase.String()),
		rounded("sure", stats.Confidence, 2), rounded("limit", stats.Limit, 1), rounded("usual", stats.Baseline, 1),
		rounded("warmth", seen.Warmth, 2), rounded("firsts", recent.FirstAttempts, 0),
		rounded("repeats", recent.Retries, 0), rounded("admitted", recent.Admitted, 0),
		rounded("held", recent.Rejected, 0), rounded("in_time", recent.InTime, 0), rounded("late", recent.Late, 0),
		rounded("lost", recent.Failed, 0), slog.Int("overdue", seen.Overdue)}}
}

// rounded gives an attribute with so many decimal digits.
func rounded(key string, x float64, digits int) slog.Attr {
	scale := math.Pow10(digits)
	return slog.Float64(key, math.Round(scale*x)/scale)
}

// StormMessage takes a peer's message on a storm in.
func (c *Core) StormMessage(from int, message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm != nil {
		c.storm.Receive(c.Now(), from, message)
	}
}

// AdmitConnection tells whether a new connection of a client may be accepted.
func (c *Core) AdmitConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storm == nil || c.storm.AdmitConnection(c.Now())
}

// StormCounters gives the storm control's counters, nil where there is none.
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

// stormVerdict tells whether the storm control refuses a transaction, and the wait to name. A refused transaction
// ends here: policy doesn't hear of it, and it draws no units.
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

// refusalWait gives the wait that a refusal names, where wait is the one without a storm.
func (c *Core) refusalWait(tx *transaction, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storm.refusalWait(c.Now(), tx, wait)
}

// refusalWait gives the wait that a refusal names, where wait is the one without a storm.
func (g *stormGuard) refusalWait(now Time, tx *transaction, wait time.Duration) time.Duration {
	if g == nil {
		return wait
	}
	return g.Rejected(now, tx.arrival, wait)
}

// recordFailed takes in that a transaction was not served.
func (g *stormGuard) recordFailed(now Time, tx *transaction) {
	if g != nil {
		g.Failed(now, tx.arrival)
	}
}

// recordAttempt counts the end of an attempt. Ends that say nothing of the servers are left out.
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
	case endTable[end].lost:
		g.AttemptEnded(now, storm.Failed)
	}
}

// reconfigure gives the storm control the classes and plans that are in force now.
func (g *stormGuard) reconfigure(cfg policy.Settings) {
	if g != nil {
		g.Configure(stormClasses(cfg), stormPrices(cfg))
	}
}

// stormClasses gives what the storm control needs of the classes.
func stormClasses(cfg policy.Settings) (list []storm.Class) {
	for _, class := range cfg.Classes {
		list = append(list, storm.Class{LatencyTarget: class.LatencyTarget, Value: class.Value,
			NonIdempotent: class.Idempotency == policy.NotIdempotent})
	}
	return list
}

// stormPrices gives the plans' value multipliers.
func stormPrices(cfg policy.Settings) (list []float64) {
	for _, p := range cfg.Plans {
		list = append(list, p.ValueMultiplier)
	}
	return list
}

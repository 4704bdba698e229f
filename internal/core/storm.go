package core

import (
	"context"
	"log/slog"
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// guard is the core's side of the storm module: it is handed what happens, under the core's mutex, and what it gives
// out is queued like the decision module's orders. A nil one lets all pass.
type stormGuard struct {
	*storm.Guard
	self, gateways int
	phase          storm.Phase
	ticks          int
}

// Damp makes the core damp storms. It comes before the first transaction.
func (c *Core) EnableStormControl(set policy.Settings, opt storm.Options) {
	opt.Self, opt.Gateways = set.Self, set.Gateways
	g := &stormGuard{self: set.Self, gateways: set.Gateways}
	opt.Classes, opt.Prices = stormClasses(set), stormPrices(set)
	if set.MaxRetryAfter > 0 && (opt.MaxRetryAfter <= 0 || set.MaxRetryAfter < opt.MaxRetryAfter) {
		opt.MaxRetryAfter = set.MaxRetryAfter // the clients' own limit
	}
	g.Guard = storm.New(opt)
	c.mu.Lock()
	c.storm = g
	c.mu.Unlock()
}

// Beat keeps the storm module's time until ctx ends.
func (c *Core) RunStormControl(ctx context.Context) {
	beat := time.NewTicker(storm.TickInterval)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			c.handle(func(now Time) { c.stormTick(now) })
		case <-ctx.Done():
			return
		}
	}
}

func (c *Core) stormTick(now Time) {
	g := c.storm
	var seen storm.Members
	for _, o := range c.current.module.Observe(now) {
		seen.Listed++
		seen.Warmth += o.Warmth
		seen.Overdue += o.Overdue
	}
	seen.Warmth /= math.Max(float64(seen.Listed), 1)
	word := g.Tick(now, seen)
	for p := range g.gateways {
		if p != g.self && word != nil && c.sendToPeer != nil {
			c.pendingMessages = append(c.pendingMessages, peerMessage{p, word})
		}
	}
	f := g.Stats()
	if g.ticks++; f.Phase != g.phase || f.Phase != storm.Calm && g.ticks%ticksPerLogLine == 0 {
		g.phase = f.Phase
		r := f.Recent
		c.pendingLogs = append(c.pendingLogs, logLine{"storm", []slog.Attr{slog.String("phase", f.Phase.String()), rounded("sure", f.Confidence, 2),
			rounded("limit", f.Limit, 1), rounded("usual", f.Baseline, 1), rounded("warmth", seen.Warmth, 2), rounded("firsts", r.FirstAttempts, 0),
			rounded("repeats", r.Retries, 0), rounded("admitted", r.Admitted, 0), rounded("held", r.Rejected, 0), rounded("in_time", r.InTime, 0),
			rounded("late", r.Late, 0), rounded("lost", r.Failed, 0), slog.Int("overdue", seen.Overdue)}})
	}
}

// beatsPerLine is how many beats of a storm make a line in the log: one a second.
const ticksPerLogLine = int(time.Second / storm.TickInterval)

func rounded(key string, x float64, digits int) slog.Attr {
	scale := math.Pow10(digits)
	return slog.Float64(key, math.Round(scale*x)/scale)
}

// StormMessage hands a peer's word on a storm in.
func (c *Core) StormMessage(from int, message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm != nil {
		c.storm.Receive(c.Now(), from, message)
	}
}

// Connect tells whether a new connection may be taken.
func (c *Core) AdmitConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storm == nil || c.storm.AdmitConnection(c.Now())
}

// StormCounters gives what the storm module has counted.
func (c *Core) StormCounters() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm == nil {
		return nil
	}
	f := c.storm.Stats()
	return Counts{slog.String("phase", f.Phase.String()), rounded("sure", f.Confidence, 2),
		rounded("limit", f.Limit, 1), rounded("usual", f.Baseline, 1), slog.Uint64("storms", f.Storms),
		slog.Uint64("refused", f.Rejected), slog.Uint64("refused_retries", f.RejectedRetries), slog.Uint64("repeats", f.Retries),
		slog.Uint64("connections_closed", f.RejectedConnections), slog.Uint64("falls", f.RampDecreases), slog.Uint64("heard", f.MessagesReceived), slog.Uint64("odd", f.MessagesDropped)}
}

// damped asks the storm module whether a transaction may go on. One that may not ends here: the decision module never
// hears of it, and it draws nothing.
func (c *Core) stormVerdict(t *transaction) (refused bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storm == nil {
		return false, 0
	}
	t.arrival = storm.Arrival{Account: uint64(t.Customer), Class: t.Class, Plan: t.Plan, Units: t.Units, MarkedRetry: t.ClientRetry}
	v := c.storm.Admit(c.Now(), t.arrival)
	if !v.Admit {
		c.close(t)
	}
	return !v.Admit, v.RetryAfter
}

// refused gives the wait that a refusal names.
func (c *Core) refusalWait(t *transaction, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storm.refusalWait(c.Now(), t, wait)
}

func (g *stormGuard) refusalWait(now Time, t *transaction, wait time.Duration) time.Duration {
	if g == nil {
		return wait
	}
	return g.Rejected(now, t.arrival, wait)
}

func (g *stormGuard) recordFailed(now Time, t *transaction) {
	if g != nil {
		g.Failed(now, t.arrival)
	}
}

func (g *stormGuard) recordAttempt(now Time, f *Attempt, end End) {
	switch {
	case g == nil:
	case end == EndServed && now-f.sentAt <= f.transaction.generation.cfg.Classes[f.transaction.Class].LatencyTarget:
		g.AttemptEnded(now, storm.InTime)
	case end == EndServed:
		g.AttemptEnded(now, storm.Late)
	case endTable[end].lost:
		g.AttemptEnded(now, storm.Failed)
	}
}

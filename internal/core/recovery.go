package core

import (
	"log/slog"
	"time"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// This file owns the core's side of coming back: it hands internal/recovery what happens, under the core's mutex, and does what
// follows from a standstill. It must never decide what that is. Overload is judged twice in the shortest aim, so a process that runs
// has an event as often: a pause of all of it is none of a running process.

// woke lets the standstill of this process be nobody's slowness. The mutex is held.
func (c *Core) woke(now Time, still time.Duration) {
	for _, t := range c.live {
		for _, f := range t.flows {
			f.sent = min(now, f.sent+still)
		}
	}
	for _, e := range append([]*era{c.era}, c.past...) {
		e.module.Resumed(now, still)
	}
	c.lines = append(c.lines, line{"woke", []slog.Attr{slog.Int64("stood_still_ms", still.Milliseconds()), slog.Int("open", len(c.live))}})
}

// look follows how far this process has come. The mutex is held.
func (c *Core) look(now Time) {
	if !c.back.Due(now) {
		return
	}
	f := c.era.module.Stats(now)
	first := c.back.Took() == 0
	if c.back.Look(now, recovery.Seen{Members: f.ListedServers, NearHeard: f.NearbyAlive, Held: f.QueuedRequests}); first && c.back.Took() > 0 {
		c.lines = append(c.lines, line{"recovered", []slog.Attr{slog.Int64("took_ms", c.back.Took().Milliseconds()),
			slog.String("from", c.back.From()), slog.Int("members", f.ListedServers), slog.Int("near_heard", f.NearbyAlive)}})
	}
}

// Recovery gives how far this process has come, and counters.
func (c *Core) Recovery() (recovery.Phase, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.back.Figures()
	return c.back.Phase(), Counts{slog.String("phase", c.back.Phase().String()), slog.Int64("took_ms", c.back.Took().Milliseconds()),
		slog.String("from", c.back.From()), slog.Int("stalls", f.Stalls), slog.Int64("longest_ms", f.Longest.Milliseconds()),
		slog.Int("lain", f.Lain), slog.Int("too_late", f.TooLate)}
}

// Uses gives what is left of the accounts that were asked for since a moment, and the moment to ask from next.
func (c *Core) Uses(since Time) (list []policy.QuotaBalance, at Time) {
	c.event(func(now Time) { list, at = c.era.module.QuotaBalances(now, since), now })
	return list, at
}

// Recall hands the module what the former life of this gateway has kept. It comes before the first transaction.
func (c *Core) Recall(list []policy.QuotaBalance) {
	c.event(func(now Time) {
		c.back.Heard(recovery.Store)
		c.era.module.RestoreBalances(now, list)
	})
}

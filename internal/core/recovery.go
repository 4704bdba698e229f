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
func (c *Core) resumed(now Time, still time.Duration) {
	for _, t := range c.transactions {
		for _, f := range t.inFlight {
			f.sentAt = min(now, f.sentAt+still)
		}
	}
	for _, e := range append([]*generation{c.current}, c.retiring...) {
		e.module.Resumed(now, still)
	}
	c.pendingLogs = append(c.pendingLogs, logLine{"woke", []slog.Attr{slog.Int64("stood_still_ms", still.Milliseconds()), slog.Int("open", len(c.transactions))}})
}

// look follows how far this process has come. The mutex is held.
func (c *Core) checkRecovery(now Time) {
	if !c.recovery.CheckDue(now) {
		return
	}
	f := c.current.module.Stats(now)
	first := c.recovery.TimeToFullService() == 0
	if c.recovery.Check(now, recovery.Observation{Members: f.ListedServers, NearbyReachable: f.NearbyAlive, Queued: f.QueuedRequests}); first && c.recovery.TimeToFullService() > 0 {
		c.pendingLogs = append(c.pendingLogs, logLine{"recovered", []slog.Attr{slog.Int64("took_ms", c.recovery.TimeToFullService().Milliseconds()),
			slog.String("from", c.recovery.SourceNames()), slog.Int("members", f.ListedServers), slog.Int("near_heard", f.NearbyAlive)}})
	}
}

// Recovery gives how far this process has come, and counters.
func (c *Core) Recovery() (recovery.Phase, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.recovery.Stats()
	return c.recovery.Phase(), Counts{slog.String("phase", c.recovery.Phase().String()), slog.Int64("took_ms", c.recovery.TimeToFullService().Milliseconds()),
		slog.String("from", c.recovery.SourceNames()), slog.Int("stalls", f.Pauses), slog.Int64("longest_ms", f.LongestPause.Milliseconds()),
		slog.Int("lain", f.Backlogged), slog.Int("too_late", f.Expired)}
}

// Uses gives what is left of the accounts that were asked for since a moment, and the moment to ask from next.
func (c *Core) QuotaBalances(since Time) (list []policy.QuotaBalance, at Time) {
	c.handle(func(now Time) { list, at = c.current.module.QuotaBalances(now, since), now })
	return list, at
}

// Recall hands the module what the former life of this gateway has kept. It comes before the first transaction.
func (c *Core) RestoreBalances(list []policy.QuotaBalance) {
	c.handle(func(now Time) {
		c.recovery.Received(recovery.Store)
		c.current.module.RestoreBalances(now, list)
	})
}

package core

import (
	"log/slog"
	"time"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// This file calls internal/recovery, under the core's mutex. That package detects pauses of this process by the gaps
// between events: while the process runs, the overload checks alone are events that come more often than its threshold.

// resumed handles the end of a pause of this process. The length of the pause isn't counted in the elapsed time of the
// attempts in flight. The mutex is held.
func (c *Core) resumed(now Time, pause time.Duration) {
	for _, tx := range c.transactions {
		for _, a := range tx.inFlight {
			a.sentAt = min(now, a.sentAt+pause)
		}
	}
	for _, g := range c.generations() {
		g.gateway.Resumed(now, pause)
	}
	c.pendingLogs = append(c.pendingLogs, logLine{"woke", []slog.Attr{
		slog.Int64("stood_still_ms", pause.Milliseconds()), slog.Int("open", len(c.transactions))}})
}

// checkRecovery passes the numbers of servers, reachable peers and queued requests to internal/recovery, and logs when
// full service is reached. The mutex is held.
func (c *Core) checkRecovery(now Time) {
	if !c.recovery.CheckDue(now) {
		return
	}
	stats := c.current.gateway.Stats(now)
	recovering := c.recovery.TimeToFullService() == 0
	c.recovery.Check(now, recovery.Observation{Members: stats.ListedServers, NearbyReachable: stats.NearbyAlive,
		Queued: stats.QueuedRequests})
	if took := c.recovery.TimeToFullService(); recovering && took > 0 {
		c.pendingLogs = append(c.pendingLogs, logLine{"recovered", []slog.Attr{
			slog.Int64("took_ms", took.Milliseconds()), slog.String("from", c.recovery.SourceNames()),
			slog.Int("members", stats.ListedServers), slog.Int("near_heard", stats.NearbyAlive)}})
	}
}

// Recovery returns the recovery phase of this process, and the counters of internal/recovery.
func (c *Core) Recovery() (recovery.Phase, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase, stats := c.recovery.Phase(), c.recovery.Stats()
	return phase, Counts{slog.String("phase", phase.String()),
		slog.Int64("took_ms", c.recovery.TimeToFullService().Milliseconds()),
		slog.String("from", c.recovery.SourceNames()), slog.Int("stalls", stats.Pauses),
		slog.Int64("longest_ms", stats.LongestPause.Milliseconds()), slog.Int("lain", stats.Backlogged),
		slog.Int("too_late", stats.Expired)}
}

// QuotaBalances returns the balances of the customers that were active at or after since, and the time to pass as since
// in the next call.
func (c *Core) QuotaBalances(since Time) (list []policy.QuotaBalance, now Time) {
	c.handle(func(t Time) { list, now = c.current.gateway.QuotaBalances(t, since), t })
	return list, now
}

// RestoreBalances restores the balances that an earlier incarnation of this gateway has stored. It must be called
// before the first transaction.
func (c *Core) RestoreBalances(list []policy.QuotaBalance) {
	c.handle(func(now Time) {
		c.recovery.Received(recovery.Store)
		c.current.gateway.RestoreBalances(now, list)
	})
}

package core

import (
	"log/slog"
	"strings"
)

// countAnswer counts a final answer and gives it back.
func (c *Core) countAnswer(a Answer) Answer {
	c.mu.Lock()
	c.counts.answered[a.Kind]++
	c.mu.Unlock()
	return a
}

// Counts are counters by name, ready to be logged.
type Counts []slog.Attr

// String gives them as key=value text.
func (c Counts) String() string {
	var text strings.Builder
	for i, a := range c {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(a.String())
	}
	return text.String()
}

// Counters gives the transactions taken in and answered, the attempts started and ended, and the gateway's
// statistics.
func (c *Core) Counters() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{slog.Uint64("taken", c.counts.taken), slog.Int("open", len(c.transactions)),
		slog.Uint64("sent", c.counts.sent)}
	for i, n := range c.counts.answered {
		counts = append(counts, slog.Uint64("answered_"+answerNames[i], n))
	}
	for i, n := range c.counts.ended {
		counts = append(counts, slog.Uint64("ended_"+endTable[i].name, n))
	}
	stats := c.current.gateway.Stats(c.Now())
	return append(counts, slog.Int("left_out", stats.EjectedServers), slog.Int("customers", stats.Customers),
		slog.Int("asked", stats.OwnerQueries), slog.Int("homes_silent", stats.SuspectedOwners),
		slog.Int("near_heard", stats.NearbyAlive), slog.Int("odd_messages", stats.InvalidMessages),
		slog.Int("held", stats.QueuedRequests))
}

package core

import (
	"log/slog"
	"strings"
)

// countAnswer counts a final answer and returns it.
func (c *Core) countAnswer(a Answer) Answer {
	c.mu.Lock()
	c.counts.answered[a.Kind]++
	c.mu.Unlock()
	return a
}

// Counts is a list of named counters, as log attributes.
type Counts []slog.Attr

// String returns the counters as key=value pairs separated by spaces.
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

// Counters returns the numbers of transactions received, open and answered and of attempts started and ended, and the
// current gateway's statistics.
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

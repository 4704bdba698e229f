package core

import (
	"log/slog"
	"strings"
)

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

// Counters gives what was taken, sent and answered so far.
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
	f := c.current.module.Stats(c.Now())
	return append(counts, slog.Int("left_out", f.EjectedServers), slog.Int("customers", f.Customers), slog.Int("asked", f.OwnerQueries),
		slog.Int("homes_silent", f.SuspectedOwners), slog.Int("near_heard", f.NearbyAlive), slog.Int("odd_messages", f.InvalidMessages), slog.Int("held", f.QueuedRequests))
}

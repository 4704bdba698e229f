package main

import (
	"context"
	"log/slog"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/front/control"
	"sprucelane.example/sprucelane/internal/daemon/inflight"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/datagram"
	"sprucelane.example/sprucelane/internal/daemon/store/balances"
)

// addCounters adds functions that each return the counters of one component. The counters of a component are logged on
// a separate line, whose attribute "part" names the component. Operators' tools read the names of counters.
func (g *gateway) addCounters(counters ...func() core.Counts) {
	g.counters = append(g.counters, counters...)
}

// logCounters logs one line for each component, with its counters.
func (g *gateway) logCounters(event string) {
	for _, counts := range g.counters {
		slog.LogAttrs(context.Background(), slog.LevelInfo, event, counts()...)
	}
}

// partCounts returns the counters of a front and of the core that it passes its requests to.
func partCounts(name string, malformed uint64, counts core.Counts) core.Counts {
	return append(core.Counts{slog.String("part", name), slog.Uint64("malformed", malformed)}, counts...)
}

func (g *gateway) poolCounts() core.Counts {
	n := g.pool.Stats()
	counts := core.Counts{slog.String("part", "pool"), slog.Uint64("reused", n.Reused), slog.Uint64("opened", n.Opened),
		slog.Uint64("opened_past_use", n.OpenedAfterStale), slog.Uint64("opened_in_place", n.OpenedByEviction),
		slog.Uint64("open_failed", n.ConnectFailed), slog.Uint64("no_descriptor", n.LimitReached),
		slog.Int("open_now", n.Open), slog.Int("idle_now", n.Idle)}
	for _, memory := range []struct {
		name  string
		stats buffers.Stats
	}{{"bodies", g.requestMemory.Stats()}, {"answers", g.responseMemory.Stats()}} {
		counts = append(counts, slog.Int64(memory.name+"_held", memory.stats.InUse),
			slog.Int64(memory.name+"_highest", memory.stats.Peak), slog.Uint64(memory.name+"_waits", memory.stats.Waits))
	}
	if g.peerLink != nil {
		n := g.peerLink.Stats()
		counts = append(counts, slog.Uint64("datagrams_heard", n.Received), slog.Uint64("datagrams_odd", n.Invalid),
			slog.Uint64("datagrams_told", n.Sent), slog.Uint64("datagrams_dropped", n.Dropped))
	}
	return counts
}

func (g *gateway) discoveryCounts() core.Counts {
	n := g.membership.Calls()
	return core.Counts{slog.String("part", "discovery"), slog.Uint64("answered", n.Answered),
		slog.Uint64("turned_away", n.Rejected), slog.Uint64("unanswered", n.Unanswered),
		slog.Duration("silent", g.membership.SinceLastAnswer())}
}

func (g *gateway) recoveryCounts() core.Counts {
	_, counts := g.core.Recovery()
	return append(core.Counts{slog.String("part", "recovery")}, counts...)
}

func (g *gateway) stormCounts() core.Counts {
	return append(core.Counts{slog.String("part", "storm")}, g.core.StormCounters()...)
}

func (g *gateway) controlCounts(server *control.Server) core.Counts {
	n := server.Stats()
	return core.Counts{slog.String("part", "control"), slog.String("phase", g.phase.Phase().String()),
		slog.Uint64("ready", n.Ready), slog.Uint64("drain", n.Drain), slog.Uint64("undrain", n.Undrain),
		slog.Uint64("refused", n.Rejected), slog.Uint64("crowded", n.Evicted)}
}

func storeCounts(keeper *balances.Keeper) core.Counts {
	n := keeper.Stats()
	counts := core.Counts{slog.String("part", "store"), slog.Uint64("epoch", n.Epoch), slog.Int("recalled", n.Restored),
		slog.Int("entries", n.Entries), slog.Int64("bytes", n.DiskBytes), slog.Uint64("writes", n.Writes),
		slog.Uint64("syncs", n.Syncs), slog.Int64("cut", n.TruncatedBytes)}
	if n.Err != nil {
		counts = append(counts, slog.String("failed", n.Err.Error()))
	}
	return counts
}

func datagramCounts(exchange *datagram.Exchange) core.Counts {
	n := exchange.Counters()
	return core.Counts{slog.String("part", "datagrams"), slog.Uint64("asked", n.Requests),
		slog.Uint64("answered", n.Answers), slog.Uint64("heard", n.Received), slog.Uint64("odd", n.Malformed),
		slog.Uint64("priors", n.Priors)}
}

func loadExchangeCounts(exchange *inflight.Exchange) core.Counts {
	return append(core.Counts{slog.String("part", "inflight")}, exchange.Counters()...)
}

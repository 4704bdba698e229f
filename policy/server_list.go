package policy

import (
	"slices"

	"sprucelane.example/sprucelane/internal/ratelimit"
)

// The handling of server lists from discovery.

// Servers applies a server list, or handles the failure of the watch if kind is ListFailed.
func (g *Gateway) Servers(now Time, kind ListKind, list []ServerInfo) {
	g.advance(now)
	if kind == ListFailed {
		least := g.overloadInterval()
		g.watching, g.watchBackoff = false, min(max(2*g.watchBackoff, least), max(g.cfg.ListRefreshWithin/4, least))
		g.host.Timer(tagWatch, g.watchBackoff)
		return
	}
	g.watching, g.watchBackoff = true, 0
	if kind != ListChanges {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, info := range list {
		g.updateServer(info)
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		// The attempts that a server was sent while it warmed up still count if it is listed again.
		old := !s.listed && s.inFlight == 0 && !s.slowStartBudget.SentWithin(now, g.cfg.SlowStartWindow)
		if old {
			delete(g.serversByID, s.ID)
		}
		return old
	})
	g.retryQueue()
}

// updateServer applies an entry of a server list. If the server's process has been replaced, only the accounting of
// attempts is kept.
func (g *Gateway) updateServer(info ServerInfo) {
	s := g.serversByID[info.ID]
	if s == nil {
		s = &server{}
		g.serversByID[info.ID], g.servers = s, append(g.servers, s)
	}
	if info.StartedAt != s.StartedAt || s.slowStartBudget.CreditedAt == 0 {
		*s = server{inFlight: s.inFlight, withoutSlot: s.withoutSlot, suspectedAttempts: s.suspectedAttempts,
			slowStartBudget: ratelimit.SlowStartBudget{Sent: s.slowStartBudget.Sent, Credit: g.rng.Float64(), CreditedAt: g.now}}
	}
	s.ServerInfo, s.listed = info, info.State == Ready
}

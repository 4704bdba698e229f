package scheduler

import (
	"cmp"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

// Parameters of a server's limit. The limit bounds this store's items in flight at the server. Live requests
// of all gateways and other stores' items use the remaining slots. A late first event or a rejection
// indicates that few slots are free.
const (
	initialLimitShare = 0.25 // of the server's slots
	maxLimitShare     = 0.6  // of the server's slots
	minLimit          = 1.0  // items
	limitIncrease     = 0.5  // items; added in total by as many prompt first events as the limit
	lateDecrease      = 0.7  // factor after a late first event
	rejectedDecrease  = 0.6  // factor after a rejection or a broken connection

	// decreaseInterval is the shortest time between two decreases: items that were sent before the first
	// decrease took effect carry no new information.
	decreaseInterval = 300 * time.Millisecond

	lateFirstEvent   = 150 * time.Millisecond // a first event that takes longer is late
	promptFirstEvent = 100 * time.Millisecond // a first event that takes at most this long is prompt
)

// Times for which nothing is sent to a server.
const (
	rejectedPause    = 150 * time.Millisecond // after a rejection, or as long as the server asks
	unreachablePause = time.Second            // after a failed dial or a broken stream

	// After a failed item the server is ejected for minEjection. The time doubles with each further
	// consecutive failure, up to maxEjection.
	minEjection          = 200 * time.Millisecond
	maxEjection          = 4 * time.Second
	maxEjectionDoublings = 5 // reaches maxEjection, and keeps the shift from overflowing
)

// Bounds of the prompt prefixes that a server is assumed to have in its cache.
const (
	prefixCacheTTL    = 5 * time.Second // after the prefix was last sent to the server
	maxCachedPrefixes = 64
)

// serverState is this store's view of a server.
type serverState struct {
	protocol.Server
	inFlight            int     // items of this store
	limit               float64 // of inFlight
	decreasedAt         time.Duration
	pausedUntil         time.Duration            // nothing is sent before this time
	cachedPrefixes      map[string]time.Duration // when each prefix was last sent
	recent              serverload.Recent        // items sent recently, which a reported load may not include
	consecutiveFailures int
}

// SetServers replaces the list of servers. The state of servers that remain listed is kept. Draining servers
// get no items.
func (p *Planner) SetServers(servers []protocol.Server) {
	states := make(map[string]*serverState, len(servers))
	byBackend := map[string][]*serverState{}
	for _, server := range servers {
		state := p.servers[server.ID]
		if state == nil {
			limit := max(minLimit, initialLimitShare*float64(server.Slots))
			state = &serverState{limit: limit, decreasedAt: -time.Hour}
		}
		state.Server = server
		states[server.ID] = state
		if !server.Draining {
			byBackend[server.Backend] = append(byBackend[server.Backend], state)
		}
	}
	for _, states := range byBackend {
		slices.SortFunc(states, func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.servers, p.byBackend = states, byBackend
}

// HasServer reports whether a server is listed.
func (p *Planner) HasServer(id string) bool { return p.servers[id] != nil }

// TotalLimit returns the sum of the limits of all servers, in items.
func (p *Planner) TotalLimit() int {
	sum := 0.0
	for _, server := range p.servers {
		sum += server.limit
	}
	return int(sum)
}

// ObserveFirstEvent adjusts a server's limit by the time from an item's request to its first event: at a
// server with free slots, the first event arrives right after the prefill.
func (p *Planner) ObserveFirstEvent(id string, took, now time.Duration) {
	server := p.servers[id]
	if server == nil {
		return
	}
	if took > lateFirstEvent {
		server.decreaseLimit(lateDecrease, now)
		return
	}
	if took <= promptFirstEvent {
		maxLimit := maxLimitShare * float64(max(server.Slots, 1))
		server.limit = min(maxLimit, server.limit+limitIncrease/server.limit)
	}
}

// Finished counts a task as no longer running at a server. It must be called once for each Assignment.
func (p *Planner) Finished(id string) {
	p.running--
	if server := p.servers[id]; server != nil {
		server.inFlight--
	}
}

// Succeeded records that a server processed an item, whatever the result. It ends a series of failures.
func (p *Planner) Succeeded(id string) {
	if server := p.servers[id]; server != nil {
		server.consecutiveFailures = 0
	}
}

// Failed records that a server failed an item, and ejects the server, for longer each time until it
// succeeds. An item that fails everywhere costs each server a short ejection.
func (p *Planner) Failed(id string, now time.Duration) {
	server := p.servers[id]
	if server == nil {
		return
	}
	server.consecutiveFailures++
	ejection := min(maxEjection, minEjection<<min(server.consecutiveFailures-1, maxEjectionDoublings))
	server.pausedUntil = max(server.pausedUntil, now+ejection)
}

// Rejected records that a server rejected an item or is draining. pause is the time for which the server
// asked not to be sent anything, and may be 0.
func (p *Planner) Rejected(id string, now, pause time.Duration) {
	if server := p.servers[id]; server != nil {
		server.decreaseLimit(rejectedDecrease, now)
		server.pausedUntil = max(server.pausedUntil, now+max(rejectedPause, pause))
	}
}

// Unreachable records that a server couldn't be reached or that its stream broke.
func (p *Planner) Unreachable(id string, now time.Duration) {
	if server := p.servers[id]; server != nil {
		server.decreaseLimit(rejectedDecrease, now)
		server.pausedUntil = max(server.pausedUntil, now+unreachablePause)
	}
}

// hasCapacity reports whether an item may be sent to the server now.
func (s *serverState) hasCapacity(now time.Duration) bool {
	return now >= s.pausedUntil && float64(s.inFlight)+1 <= s.limit
}

// startTask counts a task as sent to the server.
func (s *serverState) startTask(prefix string, now time.Duration) {
	s.inFlight++
	s.recent.Add(int64(now))
	if prefix == "" {
		return
	}
	if s.cachedPrefixes == nil {
		s.cachedPrefixes = map[string]time.Duration{}
	}
	s.cachedPrefixes[prefix] = now
	if len(s.cachedPrefixes) > maxCachedPrefixes {
		s.evictPrefixes(now)
	}
}

// evictPrefixes removes the prefixes that have expired, or all if that isn't enough.
func (s *serverState) evictPrefixes(now time.Duration) {
	for prefix, at := range s.cachedPrefixes {
		if now-at >= prefixCacheTTL {
			delete(s.cachedPrefixes, prefix)
		}
	}
	if len(s.cachedPrefixes) > maxCachedPrefixes {
		clear(s.cachedPrefixes)
	}
}

// hasCachedPrefix reports whether the server is assumed to have a prefix in its cache.
func (s *serverState) hasCachedPrefix(prefix string, now time.Duration) bool {
	at, known := s.cachedPrefixes[prefix]
	return known && now-at < prefixCacheTTL
}

// decreaseLimit multiplies the limit by a factor, unless it was decreased within decreaseInterval.
func (s *serverState) decreaseLimit(factor float64, now time.Duration) {
	if now-s.decreasedAt < decreaseInterval {
		return
	}
	s.decreasedAt = now
	s.limit = max(minLimit, s.limit*factor)
}

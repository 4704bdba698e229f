package scheduler

import (
	"cmp"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

// The limit of items on a server, as shares of its slots. Live requests of all gateways and other stores' items take the
// rest; a server shows that there is little of it by a late first event or a refusal.
const (
	initialLimitShare = 0.25
	maxLimitShare     = 0.6
	minLimit          = 1.0 // items
	limitIncrease     = 0.5 // items, for a whole limit of good first events
	lateDecrease      = 0.7
	rejectedDecrease  = 0.6
	decreaseInterval  = 300 * time.Millisecond // between two cuts
	lateFirstEvent    = 150 * time.Millisecond // to the first event: the limit shrinks
	promptFirstEvent  = 100 * time.Millisecond // to the first event: the limit grows
	rejectedPause     = 150 * time.Millisecond
	unreachablePause  = time.Second
	// A server that failed an item is left alone for failedFirst, twice as long with each further one.
	minEjection, maxEjection = 200 * time.Millisecond, 4 * time.Second
	maxEjectionDoublings     = 5
	maxCachedPrefixes        = 64 // prompts' first parts that are remembered
)

// server is what is known of a server.
type serverState struct {
	protocol.Server
	inFlight            int
	limit               float64
	decreasedAt         time.Duration
	ejectedUntil        time.Duration // nothing is sent before
	cachedPrefixes      map[string]time.Duration
	recent              serverload.Recent // items that went there
	consecutiveFailures int               // since it served an item
}

// Servers takes the present list.
func (p *Planner) SetServers(list []protocol.Server) {
	next := make(map[string]*serverState, len(list))
	lists := map[string][]*serverState{}
	for _, one := range list {
		state := p.servers[one.ID]
		if state == nil {
			state = &serverState{limit: max(minLimit, initialLimitShare*float64(one.Slots)), decreasedAt: -time.Hour}
		}
		state.Server = one
		next[one.ID] = state
		if !one.Draining {
			lists[one.Backend] = append(lists[one.Backend], state)
		}
	}
	for _, of := range lists {
		slices.SortFunc(of, func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.servers, p.byBackend = next, lists
}

// Allowed sums the limits of all servers.
func (p *Planner) TotalLimit() int {
	sum := 0.0
	for _, server := range p.servers {
		sum += server.limit
	}
	return int(sum)
}

// Present tells whether a server is on the list.
func (p *Planner) HasServer(id string) bool { return p.servers[id] != nil }

func (s *serverState) hasCapacity(now time.Duration) bool {
	return now >= s.ejectedUntil && float64(s.inFlight)+1 <= s.limit
}

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

func (s *serverState) hasCachedPrefix(prefix string, now time.Duration) bool {
	at, known := s.cachedPrefixes[prefix]
	return known && now-at < prefixCacheTTL
}

func (s *serverState) decreaseLimit(factor float64, now time.Duration) {
	if now-s.decreasedAt < decreaseInterval {
		return
	}
	s.decreasedAt = now
	s.limit = max(minLimit, s.limit*factor)
}

// FirstEvent takes how long a server took to an item's first event.
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
		server.limit = min(maxLimitShare*float64(max(server.Slots, 1)), server.limit+limitIncrease/server.limit)
	}
}

// Ended counts a task as no longer running.
func (p *Planner) Finished(id string) {
	p.running--
	if server := p.servers[id]; server != nil {
		server.inFlight--
	}
}

// Failed notes that a server failed an item: it is left alone, for longer each time until it serves one. An item that fails everywhere
// costs each server a short pause.
func (p *Planner) Failed(id string, now time.Duration) {
	server := p.servers[id]
	if server == nil {
		return
	}
	server.consecutiveFailures++
	pause := min(maxEjection, minEjection<<min(server.consecutiveFailures-1, maxEjectionDoublings))
	server.ejectedUntil = max(server.ejectedUntil, now+pause)
}

// Served notes that a server did what it could of an item.
func (p *Planner) Succeeded(id string) {
	if server := p.servers[id]; server != nil {
		server.consecutiveFailures = 0
	}
}

// Full notes that a server turned an item away; it is left alone for a moment, or as long as it asks.
func (p *Planner) Rejected(id string, now, pause time.Duration) {
	if server := p.servers[id]; server != nil {
		server.decreaseLimit(rejectedDecrease, now)
		server.ejectedUntil = max(server.ejectedUntil, now+max(rejectedPause, pause))
	}
}

// Broken notes that a server can't be reached or broke off.
func (p *Planner) Unreachable(id string, now time.Duration) {
	if server := p.servers[id]; server != nil {
		server.decreaseLimit(rejectedDecrease, now)
		server.ejectedUntil = max(server.ejectedUntil, now+unreachablePause)
	}
}

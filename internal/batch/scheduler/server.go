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
	limitFirst   = 0.25
	limitMost    = 0.6
	limitLeast   = 1.0 // items
	growth       = 0.5 // items, for a whole limit of good first events
	shrinkLate   = 0.7
	shrinkFull   = 0.6
	shrinkPause  = 300 * time.Millisecond // between two cuts
	lateFirst    = 150 * time.Millisecond // to the first event: the limit shrinks
	goodFirst    = 100 * time.Millisecond // to the first event: the limit grows
	refusedPause = 150 * time.Millisecond
	brokenPause  = time.Second
	// A server that failed an item is left alone for failedFirst, twice as long with each further one.
	failedFirst, failedMost = 200 * time.Millisecond, 4 * time.Second
	failedDoublings         = 5
	maxWarm                 = 64 // prompts' first parts that are remembered
)

// server is what is known of a server.
type server struct {
	protocol.Server
	inFlight int
	limit    float64
	cutAt    time.Duration
	until    time.Duration // nothing is sent before
	warm     map[string]time.Duration
	recent   serverload.Recent // items that went there
	failures int               // since it served an item
}

// Servers takes the present list.
func (p *Planner) Servers(list []protocol.Server) {
	next := make(map[string]*server, len(list))
	lists := map[string][]*server{}
	for _, one := range list {
		s := p.servers[one.ID]
		if s == nil {
			s = &server{limit: max(limitLeast, limitFirst*float64(one.Slots)), cutAt: -time.Hour}
		}
		s.Server = one
		next[one.ID] = s
		if !one.Draining {
			lists[one.Backend] = append(lists[one.Backend], s)
		}
	}
	for _, of := range lists {
		slices.SortFunc(of, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.servers, p.lists = next, lists
}

// Allowed sums the limits of all servers.
func (p *Planner) Allowed() int {
	sum := 0.0
	for _, s := range p.servers {
		sum += s.limit
	}
	return int(sum)
}

// Present tells whether a server is on the list.
func (p *Planner) Present(id string) bool { return p.servers[id] != nil }

func (s *server) hasRoom(now time.Duration) bool {
	return now >= s.until && float64(s.inFlight)+1 <= s.limit
}

func (s *server) start(prefix string, now time.Duration) {
	s.inFlight++
	s.recent.Add(int64(now))
	if prefix == "" {
		return
	}
	if s.warm == nil {
		s.warm = map[string]time.Duration{}
	}
	s.warm[prefix] = now
	if len(s.warm) > maxWarm {
		s.forget(now)
	}
}

func (s *server) forget(now time.Duration) {
	for prefix, at := range s.warm {
		if now-at >= warmFor {
			delete(s.warm, prefix)
		}
	}
	if len(s.warm) > maxWarm {
		clear(s.warm)
	}
}

func (s *server) isWarm(prefix string, now time.Duration) bool {
	at, known := s.warm[prefix]
	return known && now-at < warmFor
}

func (s *server) cut(factor float64, now time.Duration) {
	if now-s.cutAt < shrinkPause {
		return
	}
	s.cutAt = now
	s.limit = max(limitLeast, s.limit*factor)
}

// FirstEvent takes how long a server took to an item's first event.
func (p *Planner) FirstEvent(id string, took, now time.Duration) {
	s := p.servers[id]
	if s == nil {
		return
	}
	if took > lateFirst {
		s.cut(shrinkLate, now)
		return
	}
	if took <= goodFirst {
		s.limit = min(limitMost*float64(max(s.Slots, 1)), s.limit+growth/s.limit)
	}
}

// Ended counts a task as no longer running.
func (p *Planner) Ended(id string) {
	p.running--
	if s := p.servers[id]; s != nil {
		s.inFlight--
	}
}

// Failed notes that a server failed an item: it is left alone, for longer each time until it serves one. An item that fails everywhere
// costs each server a short pause.
func (p *Planner) Failed(id string, now time.Duration) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.failures++
	pause := min(failedMost, failedFirst<<min(s.failures-1, failedDoublings))
	s.until = max(s.until, now+pause)
}

// Served notes that a server did what it could of an item.
func (p *Planner) Served(id string) {
	if s := p.servers[id]; s != nil {
		s.failures = 0
	}
}

// Full notes that a server turned an item away; it is left alone for a moment, or as long as it asks.
func (p *Planner) Full(id string, now, pause time.Duration) {
	if s := p.servers[id]; s != nil {
		s.cut(shrinkFull, now)
		s.until = max(s.until, now+max(refusedPause, pause))
	}
}

// Broken notes that a server can't be reached or broke off.
func (p *Planner) Broken(id string, now time.Duration) {
	if s := p.servers[id]; s != nil {
		s.cut(shrinkFull, now)
		s.until = max(s.until, now+brokenPause)
	}
}

package serverselection

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/serverload"
	"sprucelane.example/sprucelane/policy"
)

// Selector selects servers for the requests of one gateway. It is safe for concurrent use.
type Selector struct {
	zone  string
	loads *serverload.Table

	// mu guards the fields below and the serverState of each server.
	mu          sync.Mutex
	random      *rand.Rand
	servers     map[policy.ServerID]*serverState
	lastReport  map[string]time.Time // by backend: when sample last drew a server with a known load
	meanLatency float64              // milliseconds to the first response, moving average over all servers
	sweptAt     time.Time
}

// serverState is what this gateway has observed of one server.
type serverState struct {
	ejection ejection
	cache    prefixCache
	inFlight int // requests of this gateway

	awaitingFirst int       // requests in flight without a first response
	pendingTokens int       // prompt tokens of these requests that the server has to read
	lastProgress  time.Time // when the server last sent something, or a request began to wait while no other did

	meanLatency float64   // milliseconds to the first response, moving average
	latencyAt   time.Time // time of the latest first response

	lastUsed time.Time
	recent   serverload.Recent // times of the latest requests sent to the server
}

// New returns the selector of a gateway in a zone. The seed determines its random draws.
func New(zone string, seed uint64) *Selector {
	return &Selector{zone: zone, random: rand.New(rand.NewPCG(seed, 0)), servers: map[policy.ServerID]*serverState{},
		loads: serverload.NewTable(), lastReport: map[string]time.Time{}}
}

// Loads returns the table of the loads that servers report. Callers fill it from responses and from the
// datagrams of other processes.
func (s *Selector) Loads() *serverload.Table { return s.loads }

// Criteria describe a request and the servers from which one is selected for it.
type Criteria struct {
	Workload    Workload
	Servers     []*endpoints.Server // of the request's backend
	Exclude     []policy.ServerID   // servers of earlier attempts, including attempts whose request was not sent
	MaxInFlight int                 // most requests of this gateway at one server; 0: no limit
}

// Pick selects a server and reserves a place for the request there. It returns nil if no server is left.
func (s *Selector) Pick(now time.Time, criteria *Criteria) *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var preferred affinityOrder
	if prefix, found := criteria.Workload.affinityKey(); found && !ablation.Off(ablation.Affinity) {
		preferred = rendezvous(prefix, criteria.Servers)
	}
	best, ejected := s.cheapest(now, criteria, s.sample(now, criteria.Servers, preferred), preferred)
	if best.server == nil {
		best, ejected = s.cheapest(now, criteria, criteria.Servers, preferred)
	}
	if best.server == nil {
		best = ejected
	}
	if best.server == nil {
		return nil
	}
	return s.reserve(now, best, &criteria.Workload)
}

// candidate is a server that may be selected. The zero value is no candidate.
type candidate struct {
	server *endpoints.Server
	state  *serverState
	cost   float64
}

// cheapest returns the available server of a list with the lowest cost, and the ejected one whose ejection ends
// first. mu is held.
func (s *Selector) cheapest(now time.Time, criteria *Criteria, list []*endpoints.Server, preferred affinityOrder) (
	best, ejected candidate) {
	for _, server := range list {
		if slices.Contains(criteria.Exclude, server.Number) {
			continue
		}
		state := s.state(server.Number)
		if criteria.MaxInFlight > 0 && state.inFlight >= criteria.MaxInFlight {
			continue
		}
		current := candidate{server: server, state: state, cost: s.cost(now, server, state, &criteria.Workload, preferred)}
		if state.ejection.available(now, state.inFlight) {
			best = cheaper(best, current)
		} else {
			current.cost = float64(state.ejection.ejectedUntil.Sub(now))
			ejected = cheaper(ejected, current)
		}
	}
	return best, ejected
}

// cheaper returns the candidate with the lower cost, or b if a is the zero value.
func cheaper(a, b candidate) candidate {
	if a.server == nil || b.cost < a.cost {
		return b
	}
	return a
}

// state returns the state of a server, a new one if there is none. mu is held.
func (s *Selector) state(number policy.ServerID) *serverState {
	state := s.servers[number]
	if state == nil {
		state = &serverState{}
		s.servers[number] = state
	}
	return state
}

const (
	sweepInterval = 10 * time.Second
	// idleStateTTL is how long the state of a server that gets no requests is kept.
	idleStateTTL = 60 * time.Second
)

// sweep drops the state of servers that have had no requests for idleStateTTL. mu is held.
func (s *Selector) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for number, state := range s.servers {
		if state.inFlight == 0 && now.Sub(state.lastUsed) > idleStateTTL {
			delete(s.servers, number)
		}
	}
}

// InFlight returns the number of this gateway's requests in flight at the servers of a list.
func (s *Selector) InFlight(list []*endpoints.Server) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range list {
		if state := s.servers[server.Number]; state != nil {
			count += state.inFlight
		}
	}
	return count
}

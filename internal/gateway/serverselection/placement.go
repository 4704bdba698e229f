// Package serverselection owns the choice of a server for a request, from what one gateway sees: which servers lately read the
// beginning of a prompt, what of this gateway's is waiting and running there, who fails, falls silent or is slow, and which zone
// they are in. Requests that share much of their prompt meet at the same few servers without gateways telling each other:
// all order the servers of such a part alike (rendezvous hashing), and go down that order as load grows. It does no
// input or output and is told the time; it must never choose a server that isn't in the list it is given.
package serverselection

import (
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/serverload"
	"sprucelane.example/sprucelane/policy"
)

// Costs are in tokens to be read before a request's own first token comes.
const (
	// runningCost is that of a request that runs at a server and makes each step a little longer.
	ownRequestCost = 60
	// zoneCost is that of going to another zone: two crossings and the price of its bytes.
	crossZoneCost = 200
	// silentMost bounds what is added for the time for which something has waited at a server without a sign of life.
	maxStallPenalty = 50_000
	// jitter keeps gateways from choosing alike.
	jitter = 120
	// tokensPerMs turns what a server was slower than others into tokens.
	prefillTokensPerMs = serverload.PrefillTokensPerMs
	// affinityLeast is the least shared beginning for which requests meet at the same servers.
	minAffinityTokens = 1024
	// cacheLeast is the least beginning that is remembered.
	minCachedTokens = 64
	// Where nothing is known of a server's cache, the first servers of a part's order are taken to hold this share of it.
	firstCachedShare, secondCachedShare = 0.9, 0.45
)

// Placer chooses. It is safe for concurrent use.
type Selector struct {
	zone string

	mu          sync.Mutex
	random      *rand.Rand
	servers     map[policy.ServerID]*serverState
	loads       *serverload.Table    // what servers tell
	lastReport  map[string]time.Time // services of which a server's word was known, and when last
	meanLatency float64              // milliseconds, running mean of the times to the first sign, over all servers
	sweptAt     time.Time
}

// state is what is known of one server.
type serverState struct {
	ejection      ejection
	cache         prefixCache
	inFlight      int
	awaitingFirst int       // of those active, without a sign of life yet
	pendingTokens int       // tokens of those
	lastProgress  time.Time // of life, or since when something waits
	meanLatency   float64   // milliseconds to the first sign, running mean
	latencyAt     time.Time // when that was learnt last
	lastUsed      time.Time
	recent        serverload.Recent // requests that went there
}

// New gives a placer of a gateway in a zone.
func New(zone string, seed uint64) *Selector {
	return &Selector{zone: zone, random: rand.New(rand.NewPCG(seed, 0)), servers: map[policy.ServerID]*serverState{},
		loads: serverload.NewTable(), lastReport: map[string]time.Time{}}
}

// Loads gives the board of what servers tell of their load, for whoever hears it.
func (p *Selector) Loads() *serverload.Table { return p.loads }

// Choice is what a server is chosen by and from.
type Criteria struct {
	Workload    Workload
	Servers     []*endpoints.Server
	Exclude     []policy.ServerID // not to be chosen
	MaxInFlight int               // requests from here at one server; 0: no bound
}

// Ticket is a request's place at a server. It belongs to one goroutine.
type Reservation struct {
	Server *endpoints.Server

	selector         *Selector
	state            *serverState
	prefillTokens    int
	reportedInFlight int // requests at the server by its own word, as it was chosen
	startedAt        time.Time
	waiting          bool
	done             bool
}

// Pick chooses a server and takes a place there, or gives nil where none is left.
func (p *Selector) Pick(now time.Time, criteria *Criteria) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var preferred affinityOrder
	if chain, meets := criteria.Workload.affinityKey(); meets && !ablation.Off(ablation.Affinity) {
		preferred = rendezvous(chain, criteria.Servers)
	}
	best, ejected := p.cheapest(now, criteria, p.sample(now, criteria.Servers, preferred), preferred)
	if best.server == nil {
		best, ejected = p.cheapest(now, criteria, criteria.Servers, preferred)
	}
	if best.server == nil {
		best = ejected // all are: the one whose time is over first
	}
	if best.server == nil {
		return nil
	}
	return p.reserve(now, best, &criteria.Workload)
}

// cheapest gives the server that costs the request least, and of those that are to be left alone the one whose time is over first.
func (p *Selector) cheapest(now time.Time, criteria *Criteria, list []*endpoints.Server, preferred affinityOrder) (best, ejected candidate) {
	for _, server := range list {
		if contains(criteria.Exclude, server.Number) {
			continue
		}
		s := p.state(server.Number)
		if criteria.MaxInFlight > 0 && s.inFlight >= criteria.MaxInFlight {
			continue
		}
		one := candidate{server: server, state: s, cost: p.cost(now, server, s, &criteria.Workload, preferred)}
		if s.ejection.available(now, s.inFlight) {
			best = cheaper(best, one)
		} else {
			one.cost = float64(s.ejection.ejectedUntil.Sub(now))
			ejected = cheaper(ejected, one)
		}
	}
	return best, ejected
}

type candidate struct {
	server *endpoints.Server
	state  *serverState
	cost   float64
}

func cheaper(a, b candidate) candidate {
	if a.server == nil || b.cost < a.cost {
		return b
	}
	return a
}

func contains(list []policy.ServerID, number policy.ServerID) bool {
	for _, one := range list {
		if one == number {
			return true
		}
	}
	return false
}

func (p *Selector) state(number policy.ServerID) *serverState {
	s := p.servers[number]
	if s == nil {
		s = &serverState{}
		p.servers[number] = s
	}
	return s
}

// cost gives what a request would wait for at a server.
func (p *Selector) cost(now time.Time, server *endpoints.Server, s *serverState, workload *Workload, preferred affinityOrder) float64 {
	held := s.cache.cachedTokens(workload.Prefixes, now)
	if shared := workload.shared(); len(shared) > 0 {
		all := float64(shared[len(shared)-1].Tokens)
		held = max(held, int(preferred.cachedShare(server.Number)*all))
	}
	cost := float64(workload.PromptTokens-held) + float64(s.pendingTokens) + p.loadCost(now, server, s)
	if server.Zone != p.zone && !ablation.Off(ablation.ZonePreference) {
		cost += crossZoneCost
	}
	return cost + p.announcedPrefill(now, server) + s.stallPenalty(now) + p.latencyPenalty(now, s) + jitter*p.random.Float64()
}

// silence gives what is to be waited for at a server that has shown no sign of life while something waits there: as long again.
func (s *serverState) stallPenalty(now time.Time) float64 {
	if s.awaitingFirst == 0 || ablation.Off(ablation.TimeoutWeighting) {
		return 0
	}
	return min(maxStallPenalty, prefillTokensPerMs*float64(now.Sub(s.lastProgress))/float64(time.Millisecond))
}

// silentAfter is how long a server that works may leave all that waits there without a sign of life.
const stallTimeout = 400 * time.Millisecond

// Silent tells whether the server has shown no sign of life for so long, to any request from here, that it is better to go
// elsewhere where that is allowed.
func (t *Reservation) Stalled(now time.Time) bool {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	reading := time.Duration(float64(t.state.pendingTokens) / prefillTokensPerMs * float64(time.Millisecond))
	return now.Sub(t.state.lastProgress) > stallTimeout+2*reading
}

func (p *Selector) reserve(now time.Time, chosen candidate, workload *Workload) *Reservation {
	s := chosen.state
	t := &Reservation{Server: chosen.server, selector: p, state: s, startedAt: now, waiting: true}
	t.prefillTokens = workload.PromptTokens - s.cache.cachedTokens(workload.Prefixes, now)
	t.reportedInFlight = p.reportedInFlight(now, chosen.server, s)
	if s.awaitingFirst == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	s.awaitingFirst++
	s.pendingTokens += t.prefillTokens
	s.lastUsed = now
	s.recent.Add(now.UnixNano())
	if !ablation.Off(ablation.PrefixCacheModel) {
		s.cache.record(workload.Prefixes, now)
	}
	p.sweep(now)
	return t
}

// Unread gives the tokens that the server was thought to have to read.
func (t *Reservation) PrefillTokens() int { return t.prefillTokens }

// Present gives the requests that were at the server as it was chosen, by its own word; 0 where it doesn't tell.
func (t *Reservation) ReportedInFlight() int { return t.reportedInFlight }

// First notes a first sign of the answer.
func (t *Reservation) FirstResponse(now time.Time) {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	if t.waiting {
		t.endWaiting()
		t.selector.observeLatency(now, t.state, now.Sub(t.startedAt))
	}
	t.state.lastProgress = now
}

func (t *Reservation) endWaiting() {
	t.waiting = false
	t.state.awaitingFirst--
	t.state.pendingTokens -= t.prefillTokens
}

// abandonedAfter is the wait after which a request that its client has left without a sign of life counts against the server.
const abandonedFailureAfter = time.Second

// Sign notes that the server has sent something more.
func (t *Reservation) Progress(now time.Time) {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	t.state.lastProgress = now
}

// Done gives the place back.
func (t *Reservation) Done(now time.Time, result Result) {
	t.selector.mu.Lock()
	defer t.selector.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	if t.waiting {
		t.endWaiting()
		if result == Abandoned && now.Sub(t.startedAt) > abandonedFailureAfter {
			result = Broken // whoever waited for it has given it up
		}
	}
	t.state.inFlight--
	t.state.lastUsed = now
	if result != Abandoned && result != Unreachable && result != Broken {
		t.state.lastProgress = now
	}
	t.state.ejection.record(result, now)
	switch result {
	case Succeeded:
		t.selector.loads.RecordResult(now, t.Server.Hash, false)
	case Failed, Broken, Unreachable:
		t.selector.loads.RecordResult(now, t.Server.Hash, true)
	}
}

const (
	sweepInterval = 10 * time.Second
	idleStateTTL  = 60 * time.Second
)

// sweep forgets servers that nothing has been sent to for long. The mutex is held.
func (p *Selector) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for number, s := range p.servers {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > idleStateTTL {
			delete(p.servers, number)
		}
	}
}

// Active counts this gateway's requests at servers.
func (p *Selector) InFlight(list []*endpoints.Server) (active int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range list {
		if s := p.servers[server.Number]; s != nil {
			active += s.inFlight
		}
	}
	return active
}

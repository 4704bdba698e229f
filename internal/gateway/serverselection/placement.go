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
	runningCost = 60
	// zoneCost is that of going to another zone: two crossings and the price of its bytes.
	zoneCost = 200
	// silentMost bounds what is added for the time for which something has waited at a server without a sign of life.
	silentMost = 50_000
	// jitter keeps gateways from choosing alike.
	jitter = 120
	// tokensPerMs turns what a server was slower than others into tokens.
	tokensPerMs = serverload.ReadPerMs
	// affinityLeast is the least shared beginning for which requests meet at the same servers.
	affinityLeast = 1024
	// cacheLeast is the least beginning that is remembered.
	cacheLeast = 64
	// Where nothing is known of a server's cache, the first servers of a part's order are taken to hold this share of it.
	firstShare, secondShare = 0.9, 0.45
)

// Placer chooses. It is safe for concurrent use.
type Placer struct {
	zone string

	mu      sync.Mutex
	random  *rand.Rand
	servers map[policy.ServerID]*state
	loads   *serverload.Board    // what servers tell
	telling map[string]time.Time // services of which a server's word was known, and when last
	delay   float64              // milliseconds, running mean of the times to the first sign, over all servers
	swept   time.Time
}

// state is what is known of one server.
type state struct {
	health  health
	cache   cache
	active  int
	waiting int       // of those active, without a sign of life yet
	pending int       // tokens of those
	sign    time.Time // of life, or since when something waits
	delay   float64   // milliseconds to the first sign, running mean
	delayed time.Time // when that was learnt last
	used    time.Time
	recent  serverload.Recent // requests that went there
}

// New gives a placer of a gateway in a zone.
func New(zone string, seed uint64) *Placer {
	return &Placer{zone: zone, random: rand.New(rand.NewPCG(seed, 0)), servers: map[policy.ServerID]*state{},
		loads: serverload.NewBoard(), telling: map[string]time.Time{}}
}

// Loads gives the board of what servers tell of their load, for whoever hears it.
func (p *Placer) Loads() *serverload.Board { return p.loads }

// Choice is what a server is chosen by and from.
type Choice struct {
	Demand  Demand
	Servers []*endpoints.Server
	Passed  []policy.ServerID // not to be chosen
	Most    int               // requests from here at one server; 0: no bound
}

// Ticket is a request's place at a server. It belongs to one goroutine.
type Ticket struct {
	Server *endpoints.Server

	placer  *Placer
	state   *state
	tokens  int
	present int // requests at the server by its own word, as it was chosen
	began   time.Time
	waiting bool
	done    bool
}

// Pick chooses a server and takes a place there, or gives nil where none is left.
func (p *Placer) Pick(now time.Time, choice *Choice) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	var order preference
	if chain, meets := choice.Demand.affinity(); meets && !ablation.Off(ablation.Affinity) {
		order = prefer(chain, choice.Servers)
	}
	best, shunned := p.cheapest(now, choice, p.sample(now, choice.Servers, order), order)
	if best.server == nil {
		best, shunned = p.cheapest(now, choice, choice.Servers, order)
	}
	if best.server == nil {
		best = shunned // all are: the one whose time is over first
	}
	if best.server == nil {
		return nil
	}
	return p.take(now, best, &choice.Demand)
}

// cheapest gives the server that costs the request least, and of those that are to be left alone the one whose time is over first.
func (p *Placer) cheapest(now time.Time, choice *Choice, list []*endpoints.Server, order preference) (best, shunned candidate) {
	for _, server := range list {
		if passed(choice.Passed, server.Number) {
			continue
		}
		s := p.state(server.Number)
		if choice.Most > 0 && s.active >= choice.Most {
			continue
		}
		one := candidate{server: server, state: s, cost: p.cost(now, server, s, &choice.Demand, order)}
		if s.health.open(now, s.active) {
			best = cheaper(best, one)
		} else {
			one.cost = float64(s.health.shunned.Sub(now))
			shunned = cheaper(shunned, one)
		}
	}
	return best, shunned
}

type candidate struct {
	server *endpoints.Server
	state  *state
	cost   float64
}

func cheaper(a, b candidate) candidate {
	if a.server == nil || b.cost < a.cost {
		return b
	}
	return a
}

func passed(list []policy.ServerID, number policy.ServerID) bool {
	for _, one := range list {
		if one == number {
			return true
		}
	}
	return false
}

func (p *Placer) state(number policy.ServerID) *state {
	s := p.servers[number]
	if s == nil {
		s = &state{}
		p.servers[number] = s
	}
	return s
}

// cost gives what a request would wait for at a server.
func (p *Placer) cost(now time.Time, server *endpoints.Server, s *state, demand *Demand, order preference) float64 {
	held := s.cache.holds(demand.Parts, now)
	if shared := demand.shared(); len(shared) > 0 {
		all := float64(shared[len(shared)-1].Tokens)
		held = max(held, int(order.share(server.Number)*all))
	}
	cost := float64(demand.Prompt-held) + float64(s.pending) + p.presence(now, server, s)
	if server.Zone != p.zone && !ablation.Off(ablation.ZonePreference) {
		cost += zoneCost
	}
	return cost + p.elsewhere(now, server) + s.silence(now) + p.slowness(now, s) + jitter*p.random.Float64()
}

// silence gives what is to be waited for at a server that has shown no sign of life while something waits there: as long again.
func (s *state) silence(now time.Time) float64 {
	if s.waiting == 0 || ablation.Off(ablation.Silence) {
		return 0
	}
	return min(silentMost, tokensPerMs*float64(now.Sub(s.sign))/float64(time.Millisecond))
}

// silentAfter is how long a server that works may leave all that waits there without a sign of life.
const silentAfter = 400 * time.Millisecond

// Silent tells whether the server has shown no sign of life for so long, to any request from here, that it is better to go
// elsewhere where that is allowed.
func (t *Ticket) Silent(now time.Time) bool {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	reading := time.Duration(float64(t.state.pending) / tokensPerMs * float64(time.Millisecond))
	return now.Sub(t.state.sign) > silentAfter+2*reading
}

func (p *Placer) take(now time.Time, chosen candidate, demand *Demand) *Ticket {
	s := chosen.state
	t := &Ticket{Server: chosen.server, placer: p, state: s, began: now, waiting: true}
	t.tokens = demand.Prompt - s.cache.holds(demand.Parts, now)
	t.present = p.presentThere(now, chosen.server, s)
	if s.waiting == 0 {
		s.sign = now
	}
	s.active++
	s.waiting++
	s.pending += t.tokens
	s.used = now
	s.recent.Went(now.UnixNano())
	if !ablation.Off(ablation.CacheMemory) {
		s.cache.note(demand.Parts, now)
	}
	p.sweep(now)
	return t
}

// Unread gives the tokens that the server was thought to have to read.
func (t *Ticket) Unread() int { return t.tokens }

// Present gives the requests that were at the server as it was chosen, by its own word; 0 where it doesn't tell.
func (t *Ticket) Present() int { return t.present }

// First notes a first sign of the answer.
func (t *Ticket) First(now time.Time) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	if t.waiting {
		t.leaveQueue()
		t.placer.learn(now, t.state, now.Sub(t.began))
	}
	t.state.sign = now
}

func (t *Ticket) leaveQueue() {
	t.waiting = false
	t.state.waiting--
	t.state.pending -= t.tokens
}

// abandonedAfter is the wait after which a request that its client has left without a sign of life counts against the server.
const abandonedAfter = time.Second

// Sign notes that the server has sent something more.
func (t *Ticket) Sign(now time.Time) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.state.sign = now
}

// Done gives the place back.
func (t *Ticket) Done(now time.Time, result Result) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	if t.waiting {
		t.leaveQueue()
		if result == Abandoned && now.Sub(t.began) > abandonedAfter {
			result = Broken // whoever waited for it has given it up
		}
	}
	t.state.active--
	t.state.used = now
	if result != Abandoned && result != Unreachable && result != Broken {
		t.state.sign = now
	}
	t.state.health.note(result, now)
	switch result {
	case Succeeded:
		t.placer.loads.Ended(now, t.Server.Hash, false)
	case Failed, Broken, Unreachable:
		t.placer.loads.Ended(now, t.Server.Hash, true)
	}
}

const (
	sweepEvery = 10 * time.Second
	forgetIn   = 60 * time.Second
)

// sweep forgets servers that nothing has been sent to for long. The mutex is held.
func (p *Placer) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for number, s := range p.servers {
		if s.active == 0 && now.Sub(s.used) > forgetIn {
			delete(p.servers, number)
		}
	}
}

// Active counts this gateway's requests at servers.
func (p *Placer) Active(list []*endpoints.Server) (active int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range list {
		if s := p.servers[server.Number]; s != nil {
			active += s.active
		}
	}
	return active
}

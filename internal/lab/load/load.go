// Package load owns the laboratory's clients: an open loop of requests whose moments are drawn ahead and wait for no
// answer, sent as the platform's clients send them, with a deadline, at most one retry and an ear for Retry-After. It
// records each first try against the moment it was meant for, so that a stall shows in full however few requests it
// held up. It must never look into a gateway.
package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Class is one kind of request.
type Class struct {
	Name     string
	Share    float64 // of the requests
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Unsafe   bool
}

// Plan is a quota and the part of the accounts that have it.
type Plan struct {
	Name        string
	Share       float64 // of the accounts
	Rate, Burst float64 // units a second, units at once, over all gateways
	Price       float64
}

// Options say what is asked, by whom.
type Options struct {
	Seed     uint64
	Rate     float64 // first tries a second, over all accounts
	Accounts int
	Classes  []Class
	Plans    []Plan
	Heavy    float64 // share of the accounts that ask HeavyX times as much as the others
	HeavyX   float64
	Spread   int // gateways of each account
	Units    int // most units of a request

	Retries   float64       // share of the clients that retry once
	Wait      time.Duration // before a retry of one that heeds nothing
	Heeds     float64       // share of those that wait as long as Retry-After says
	MarkRetry bool

	// Model makes every client come back until it is served or has had enough, in place of Retries and Wait. Nil: the
	// platform's clients, which retry once at most.
	Model *Model

	Connections int // most idle connections kept to each gateway

	Slack time.Duration // that a client waits longer than it has told the gateway
	Watch Watch         // nil: nobody
}

// Asked is one request as a client sends it.
type Asked struct {
	ID       string
	Door     int // the gateway's number
	Class    int
	Plan     int
	Account  uint64
	Units    float64
	Price    float64
	Patience time.Duration
	Retry    bool
}

// Watch is told of every request, and of its end. It must not hold clients up.
type Watch interface {
	Asked(Asked)
	Ended(id string, door int, end End)
}

// Model is how persistent clients come back.
type Model struct {
	Name     string
	First    time.Duration // wait before the second try
	Factor   float64       // by which the wait grows with each further one; 1: it doesn't
	Most     time.Duration // and up to which
	Jitter   float64       // share of the wait that is drawn by chance
	Patience time.Duration // from the first try on, after which a client gives the whole up
}

// Models are the ways in which clients come back that storms are measured with. Whether a client heeds Retry-After is
// the options' Heeds, whatever its model.
var Models = []Model{
	{Name: "immediate", First: 100 * time.Millisecond, Factor: 1, Most: 100 * time.Millisecond},
	{Name: "fixed", First: time.Second, Factor: 1, Most: time.Second},
	{Name: "doubling", First: 200 * time.Millisecond, Factor: 2, Most: 5 * time.Second},
	{Name: "jittered", First: 200 * time.Millisecond, Factor: 2, Most: 5 * time.Second, Jitter: 1},
}

// wait gives how long a client waits before its n-th retry, from 1 on.
func (m Model) wait(n int, rng *rand.Rand) time.Duration {
	w := math.Min(m.First.Seconds()*math.Pow(math.Max(m.Factor, 1), float64(n-1)), m.Most.Seconds())
	return time.Duration(w * (1 - m.Jitter*rng.Float64()) * float64(time.Second))
}

// Door is a gateway's address. One that isn't open is passed by: its requests go to the others of the set.
type Door struct {
	mu   sync.Mutex
	addr string
	open time.Time
}

// Set tells where the gateway is; empty: it is down.
func (d *Door) Set(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr != "" && d.addr == "" {
		d.open = time.Now()
	}
	d.addr = addr
}

// Addr gives where the gateway is; empty: it is down.
func (d *Door) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// End tells how a client's try ended.
type End uint8

// The ends of a try.
const (
	Served  End = iota
	Spoilt      // an answer to something else
	Refused     // 429 or 503
	Failed      // any other answer
	Broken      // no whole answer: the connection broke
	GivenUp     // nothing came in time
	Shed        // the generator's own bound on open requests: not sent
	ends
)

var endNames = [ends]string{"served", "spoilt", "refused", "failed", "broken", "given_up", "shed"}

func (e End) String() string { return endNames[e] }

// Record is one first try with what became of it and of its retry.
type Record struct {
	At      time.Duration // the moment it was meant for, since the start of the run
	Door    int
	Class   int
	Plan    int
	Worth   float64 // class worth x price x units
	Inside  bool    // one gateway that saw all first tries would let it in
	End     End     // of the last try
	Retried bool
	Tries   int
	Took    time.Duration // from At to the last byte of the last answer
	Last    time.Duration // from the last try to that
}

// Done is when the last answer had come.
func (r Record) Done() time.Duration { return r.At + r.Took }

// InTime tells whether it was served within its class's aim.
func (r Record) InTime(classes []Class) bool {
	return r.End == Served && r.Took <= classes[r.Class].Aim
}

type account struct {
	id     uint64
	plan   int
	weight float64
	first  int
	spread int
	parts  []float64 // of its traffic for each gateway of its set
	store  float64
	at     time.Duration
}

// Generator asks.
type Generator struct {
	opt    Options
	doors  []*Door
	client *http.Client
	open   chan struct{}

	mu      sync.Mutex
	records []Record
	returns []Return
	serial  uint64
}

// Return is a client's coming back after a refusal that named a moment, which it heeded.
type Return struct {
	At   time.Duration // since the start of the run
	Door int
}

// Returns gives those so far.
func (g *Generator) Returns() []Return {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Return(nil), g.returns...)
}

const (
	mostOpen    = 4096 // requests at once: the laboratory's own bound
	mostRecords = 1 << 21
)

// New gives a generator before some gateways.
func New(opt Options, doors []*Door) (*Generator, error) {
	switch {
	case !(opt.Rate > 0):
		return nil, errors.New("rate: must be above 0")
	case opt.Accounts < 1:
		return nil, errors.New("accounts: must be 1 or more")
	case len(opt.Classes) == 0 || len(opt.Plans) == 0:
		return nil, errors.New("classes, plans: none given")
	case len(doors) == 0:
		return nil, errors.New("gateways: none given")
	case opt.Spread < 1 || opt.Spread > len(doors):
		return nil, fmt.Errorf("spread: must be 1 to %d, the number of gateways", len(doors))
	}
	opt.Units, opt.Connections = max(1, opt.Units), max(64, opt.Connections)
	return &Generator{opt: opt, doors: doors, open: make(chan struct{}, mostOpen),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: opt.Connections, IdleConnTimeout: 20 * time.Second,
			DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}, nil
}

// accounts draws who asks: the same for a seed whatever else is set.
func (g *Generator) accounts() ([]*account, float64) {
	rng := rand.New(rand.NewPCG(g.opt.Seed, 2))
	var list []*account
	total, shares := 0.0, 0.0
	for _, p := range g.opt.Plans {
		shares += p.Share
	}
	for i := range g.opt.Accounts {
		a := &account{id: rng.Uint64() & (1<<33 - 1), weight: 0.5 + rng.Float64(), first: rng.IntN(len(g.doors)), spread: g.opt.Spread}
		at := (float64(i) + 0.5) / float64(g.opt.Accounts) * shares
		for a.plan = 0; a.plan < len(g.opt.Plans)-1 && at > g.opt.Plans[a.plan].Share; a.plan++ {
			at -= g.opt.Plans[a.plan].Share
		}
		a.weight *= math.Max(g.opt.Plans[a.plan].Rate, 1e-3)
		if rng.Float64() < g.opt.Heavy {
			a.weight *= math.Max(g.opt.HeavyX, 1)
		}
		for range a.spread {
			a.parts = append(a.parts, 0.3+rng.Float64())
		}
		a.store = g.opt.Plans[a.plan].Burst
		total += a.weight
		list = append(list, a)
	}
	return list, total
}

// pick gives the place of a share drawn by chance.
func pick(rng *rand.Rand, parts []float64) int {
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	x := rng.Float64() * sum
	for i, p := range parts {
		if x -= p; x < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// inside draws on the store that one gateway alone would keep for the account.
func (a *account) inside(p Plan, at time.Duration, units float64) bool {
	a.store = math.Min(p.Burst, a.store+(at-a.at).Seconds()*p.Rate)
	a.at = at
	if a.store < units {
		return false
	}
	a.store -= units
	return true
}

// Run asks for so long, and gives back once every try has ended. It may be called once.
func (g *Generator) Run(ctx context.Context, start time.Time, length time.Duration) {
	rng := rand.New(rand.NewPCG(g.opt.Seed, 1))
	list, total := g.accounts()
	weights, classes := make([]float64, len(list)), make([]float64, len(g.opt.Classes))
	for i, a := range list {
		weights[i] = a.weight / total
	}
	for i, c := range g.opt.Classes {
		classes[i] = c.Share
	}
	var tries sync.WaitGroup
	defer tries.Wait()
	defer g.client.CloseIdleConnections()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / g.opt.Rate * float64(time.Second))
		a, c, units := list[pick(rng, weights)], pick(rng, classes), 1+rng.IntN(g.opt.Units)
		door, client := pick(rng, a.parts), rng.Uint64()
		if at > length {
			return
		}
		plan := g.opt.Plans[a.plan]
		try := &try{g: g, a: a, class: g.opt.Classes[c], units: units, door: door, rng: rand.New(rand.NewPCG(client, 3)),
			start: start, record: Record{At: at, Door: (a.first + door) % len(g.doors), Class: c, Plan: a.plan,
				Worth: g.opt.Classes[c].Worth * plan.Price * float64(units), Inside: a.inside(plan, at, float64(units))}}
		wait := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		select {
		case g.open <- struct{}{}:
			tries.Go(func() {
				try.run(ctx)
				<-g.open
			})
		default:
			try.record.End = Shed
			g.keep(try.record)
		}
	}
}

func (g *Generator) keep(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.records) < mostRecords {
		g.records = append(g.records, r)
	}
}

// Reconnect closes the connections that are idle: the next tries open new ones.
func (g *Generator) Reconnect() { g.client.CloseIdleConnections() }

// Records gives what has ended so far.
func (g *Generator) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Record(nil), g.records...)
}

// try is one client's request and its retry.
type try struct {
	g      *Generator
	a      *account
	class  Class
	units  int
	door   int // of the set
	rng    *rand.Rand
	start  time.Time
	record Record
}

func (t *try) run(ctx context.Context) {
	opt := t.g.opt
	again, heeds := t.rng.Float64() < opt.Retries, t.rng.Float64() < opt.Heeds
	began := time.Now()
	end, after := t.once(ctx, false)
	for t.record.Tries = 1; end != Served && ctx.Err() == nil && (end == Refused || !t.class.Unsafe); t.record.Tries++ {
		wait := opt.Wait
		if opt.Model != nil {
			wait, again = opt.Model.wait(t.record.Tries, t.rng), true
		} else if t.record.Tries > 1 {
			break
		}
		heeded := heeds && after > 0
		if heeded {
			wait = after
		}
		if opt.Model != nil && time.Since(t.start.Add(t.record.At))+wait > opt.Model.Patience || !again {
			break
		}
		pause := time.NewTimer(wait)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			continue
		}
		t.record.Retried = true
		if t.rng.Float64() < 0.5 { // through another gateway, under a fresh id
			t.door = t.rng.IntN(t.a.spread)
		}
		began = time.Now()
		if heeded {
			t.g.mu.Lock()
			if len(t.g.returns) < mostRecords {
				t.g.returns = append(t.g.returns, Return{began.Sub(t.start), (t.a.first + t.door) % len(t.g.doors)})
			}
			t.g.mu.Unlock()
		}
		end, after = t.once(ctx, true)
	}
	t.record.End, t.record.Took, t.record.Last = end, time.Since(t.start.Add(t.record.At)), time.Since(began)
	t.g.keep(t.record)
}

// once sends the request one time and tells how it ended and when it was asked to come back.
func (t *try) once(ctx context.Context, retry bool) (end End, after time.Duration) {
	addr, door := "", 0
	for k := 0; k < t.a.spread && addr == ""; k++ {
		door = (t.a.first + (t.door+k)%t.a.spread) % len(t.g.doors)
		addr = t.g.doors[door].Addr()
	}
	if addr == "" {
		return Broken, 0
	}
	t.g.mu.Lock()
	t.g.serial++
	id := fmt.Sprintf("%08x%08x", uint32(t.g.opt.Seed), t.g.serial)
	t.g.mu.Unlock()
	patience := time.Duration(float64(t.class.Deadline) * (0.5 + 0.5*t.rng.Float64()))
	if opt := t.g.opt; opt.Watch != nil {
		opt.Watch.Asked(Asked{ID: id, Door: door, Class: t.record.Class, Plan: t.a.plan, Account: t.a.id, Units: float64(t.units),
			Price: t.record.Worth, Patience: patience, Retry: retry})
		defer func() { opt.Watch.Ended(id, door, end) }()
	}
	ctx, cancel := context.WithTimeout(ctx, patience+t.g.opt.Slack)
	defer cancel()
	method, body := http.MethodGet, []byte(nil)
	if t.class.Unsafe {
		method, body = http.MethodPost, []byte(`{"crew":7}`)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+t.class.Name, bytes.NewReader(body))
	if err != nil {
		return Broken, 0
	}
	h := r.Header
	h.Set("X-Request-Id", id)
	h.Set("X-Class", t.class.Name)
	h.Set("X-Tariff", t.g.opt.Plans[t.a.plan].Name)
	h.Set("X-Subscriber", fmt.Sprintf("%016x", t.a.id))
	h.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	h.Set("X-Weight", fmt.Sprintf("units=%d,spread=%d,first=%d", t.units, t.a.spread, t.a.first))
	if retry && t.g.opt.MarkRetry {
		h.Set("X-Retry", "1")
	}
	resp, err := t.g.client.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			return GivenUp, 0
		}
		return Broken, 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	switch {
	case err != nil && ctx.Err() != nil:
		return GivenUp, 0
	case err != nil:
		return Broken, 0
	case resp.StatusCode == http.StatusOK && string(text) != "done "+id:
		return Spoilt, 0
	case resp.StatusCode == http.StatusOK:
		return Served, 0
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return Refused, time.Duration(math.Max(0, math.Min(seconds, 60)) * float64(time.Second))
	}
	return Failed, 0
}

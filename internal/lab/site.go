package lab

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/fake/discoveryagent"
	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
)

// Plan of a site: what stands and who asks.
type Plan struct {
	Binary   string
	Dir      string // for the gateways' files; empty: a temporary one
	Seed     uint64
	Gateways int
	Members  int
	Spec     poolmember.Spec
	SlowPart float64       // share of the members whose cores run at three quarters of the speed
	Delay    time.Duration // of discovery
	Load     load.Options
	Peers    bool          // whether the gateways send each other datagrams
	MostWait time.Duration // that a refusal may name; 0: a second
	MemoryMB int
	Sockets  int
	Control  bool    // whether operators can call the gateways, and upgrade them
	Ceiling  float64 // hard ceilings, times the quotas; 0: none

	PeersOf func(gateway int, addresses []string) ([]string, error) // the addresses at which a gateway finds its peers; nil: the real ones
	Via     func(gateway int, member, addr string) string           // the address at which it finds a member; nil: the real one
	Tap     poolmember.Tap                                          // nil: none
	Ahead   func(gateway int) time.Duration                         // of its clock; nil: none is
	Called  func(gateway int)                                       // of calls to discovery; nil: nobody
}

// Site is a running one.
type Site struct {
	Plan
	Agent     *discoveryagent.Agent
	Ledger    *poolmember.Ledger
	Doors     []*load.Door
	Generator *load.Generator
	Began     time.Time // when the load began
	Links     []string  // an address for each gateway, free for what else it may listen for

	host          string
	listen, peers []string
	own           string // folder to remove

	mu       sync.Mutex
	members  []*poolmember.Member // all that ever were
	current  map[string]*poolmember.Member
	gateways []*Process // by number; nil: down
	rng      *rand.Rand
	lives    int
}

// Open starts the members and the agent. Gateways are started one by one.
func Open(p Plan) (*Site, error) {
	if p.Gateways < 1 || p.Members < 1 {
		return nil, fmt.Errorf("gateways, members: must be 1 or more")
	}
	s := &Site{Plan: p, Ledger: poolmember.NewLedger("work-order"), current: map[string]*poolmember.Member{},
		gateways: make([]*Process, p.Gateways), rng: rand.New(rand.NewPCG(p.Seed, 4))}
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	var err error
	if s.Dir == "" {
		if s.own, err = os.MkdirTemp("", "sprucelab-"); err != nil {
			return nil, err
		}
		s.Dir = s.own
	}
	if s.Agent, err = discoveryagent.Start(p.Gateways, p.Delay, p.Called); err != nil {
		return nil, err
	}
	s.Ledger.Tap = p.Tap
	host := ownHost()
	s.host = host
	for n := range p.Gateways {
		s.listen = append(s.listen, fmt.Sprintf("%s:%d", host, 8000+n))
		s.peers = append(s.peers, fmt.Sprintf("%s:%d", host, 7000+n))
		s.Links = append(s.Links, fmt.Sprintf("%s:%d", host, 9000+n))
	}
	for range p.Gateways {
		s.Doors = append(s.Doors, &load.Door{})
	}
	for i := range p.Members {
		if _, err := s.AddMember(fmt.Sprintf("m-%03d", i+1), time.Time{}, nil); err != nil {
			s.Close()
			return nil, err
		}
	}
	if s.Generator, err = load.New(p.Load, s.Doors); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Host gives the site's own loopback address.
func (s *Site) Host() string { return s.host }

var hosts atomic.Uint32

// ownHost gives a loopback address of this site's own: on 127.0.0.1 any port may be taken by a connection's other end
// between the moment it was found free and its use.
func ownHost() string {
	pid, n := os.Getpid(), hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+n%250)
}

// AddMember starts a member and lists it. A started time makes it cold; addresses make it stand where another did.
func (s *Site) AddMember(id string, started time.Time, addrs []string) (*poolmember.Member, error) {
	s.mu.Lock()
	spec := s.Spec
	if s.rng.Float64() < s.SlowPart {
		spec.Speed *= 0.75
	}
	s.mu.Unlock()
	m, err := poolmember.Start(id, started, spec, s.Gateways, s.Ledger, s.Agent.Told, addrs)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.members = append(s.members, m)
	s.current[id] = m
	s.mu.Unlock()
	in := discovery.Instance{ID: id, Zone: "room-east", Kind: "std-2c", Lifecycle: "up", Weight: 1}
	if !started.IsZero() {
		in.StartedMs = started.UnixMilli()
	}
	at := m.Addrs()
	for g := range at {
		if s.Via != nil {
			at[g] = s.Via(g, id, at[g])
		}
	}
	s.Agent.Set(in, at)
	return m, nil
}

// Member gives a member in its present life.
func (s *Site) Member(id string) *poolmember.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current[id]
}

// Restart ends a member and starts it again, cold, at the same address.
func (s *Site) Restart(id string) error {
	old := s.Member(id)
	addrs := old.Addrs()
	old.Stop()
	_, err := s.AddMember(id, time.Now(), addrs)
	return err
}

// Remove takes a member off the list and ends it once nothing more may come.
func (s *Site) Remove(id string) {
	m := s.Member(id)
	s.Agent.Lifecycle(id, "removed")
	s.mu.Lock()
	delete(s.current, id)
	s.mu.Unlock()
	time.AfterFunc(s.Delay+5*time.Second, m.Stop)
}

// MemberIDs are those listed in the beginning.
func (s *Site) MemberIDs() (list []string) {
	for i := range s.Members {
		list = append(list, fmt.Sprintf("m-%03d", i+1))
	}
	return list
}

// StartGateway starts a gateway and opens its door once it is ready. The operators' file may be nil. It tells how long
// the gateway took to be ready.
func (s *Site) StartGateway(n int, site map[string]any) (time.Duration, error) {
	s.mu.Lock()
	s.lives++
	life := s.lives
	s.mu.Unlock()
	seed := s.Seed<<16 | uint64(life)
	setup := Setup{Binary: s.Binary, Dir: s.Dir, Name: fmt.Sprintf("g%d", n), Listen: s.listen[n], Discovery: s.Agent.Addr(n),
		Seed: seed, Known: s.Agent.List(n), Settings: s.Settings(n), Site: site, MemoryMB: s.MemoryMB, Sockets: s.Sockets}
	if s.Plan.Peers {
		setup.PeerListen, setup.Peers = s.peers[n], s.peers
		if s.PeersOf != nil {
			peers, err := s.PeersOf(n, s.peers)
			if err != nil {
				return 0, err
			}
			setup.Peers = peers
		}
	}
	if s.Control { // two processes of a gateway have one each
		setup.Control, setup.Temp = fmt.Sprintf("%s:%d", s.host, 10000+life), s.Dir
	}
	if s.Ahead != nil {
		setup.Ahead = s.Ahead(n)
	}
	p, err := StartGateway(setup)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.gateways[n] = p
	s.mu.Unlock()
	took, err := p.Ready(20 * time.Second)
	if err != nil {
		return 0, err
	}
	s.Doors[n].Set(p.Listen)
	return took, nil
}

// Gateway gives a gateway's process, nil where it is down.
func (s *Site) Gateway(n int) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[n]
}

// KillGateway ends a gateway at once. The front notices later.
func (s *Site) KillGateway(n int, noticed time.Duration) {
	p := s.Gateway(n)
	p.Kill()
	time.AfterFunc(noticed, func() { s.Doors[n].Set("") })
}

// Run asks for so long. It gives back once every try has ended.
func (s *Site) Run(ctx context.Context, length time.Duration) {
	s.Began = time.Now()
	s.Generator.Run(ctx, s.Began, length)
}

// Audit is what the rules were kept by, over all members that ever were.
type Audit struct {
	poolmember.Account
	Twice uint64 // work-orders that reached members more than once
}

// Audit adds up the members' accounts.
func (s *Site) Audit() (a Audit) {
	a.Swallowed = map[int]uint64{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		x := m.Account()
		a.Sent, a.Served, a.TurnedAway = a.Sent+x.Sent, a.Served+x.Served, a.TurnedAway+x.TurnedAway
		a.Late, a.ColdBroken = a.Late+x.Late, a.ColdBroken+x.ColdBroken
		for g, n := range x.Swallowed {
			a.Swallowed[g] += n
		}
		a.PeakCold, a.Connections = max(a.PeakCold, x.PeakCold), a.Connections+x.Connections
	}
	a.Twice = s.Ledger.Twice()
	return a
}

// Close ends everything.
func (s *Site) Close() {
	var all sync.WaitGroup
	for _, p := range s.gateways {
		if p != nil {
			all.Go(func() { p.Stop(8 * time.Second) })
		}
	}
	all.Wait()
	for _, m := range s.members {
		m.Stop()
	}
	if s.Agent != nil {
		s.Agent.Stop()
	}
	if s.own != "" {
		os.RemoveAll(s.own)
	}
}

// Settings words the plan as the platform does, for a gateway.
func (s *Site) Settings(n int) map[string]any {
	var services, tiers []map[string]any
	for _, c := range s.Load.Classes {
		effect := "free"
		if c.Unsafe {
			effect = "single_shot"
		}
		services = append(services, map[string]any{"name": c.Name, "objective": c.Aim, "give_up": c.Deadline, "effect": effect,
			"worth": c.Worth})
	}
	for _, p := range s.Load.Plans {
		tier := map[string]any{"name": p.Name, "rate": p.Rate, "depth": p.Burst, "price": p.Price, "beyond_costs": 1.2}
		if s.Ceiling > 0 {
			tier["cap_rate"], tier["cap_depth"] = s.Ceiling*p.Rate, s.Ceiling*p.Burst
			tier["ceiling_slack"] = max(float64(s.Load.Units), s.Ceiling*p.Burst/10)
		}
		tiers = append(tiers, tier)
	}
	return map[string]any{
		"allowed": map[string]any{"cancel": true, "conn_idle": 30 * time.Second, "connect_timeout": 250 * time.Millisecond,
			"max_attempts": 4, "max_retry_after": cmp.Or(s.MostWait, time.Second), "may_duplicate": true, "peers": s.Plan.Peers},
		"costs":      map[string]any{"peer": 0.01},
		"discovery":  "automatic",
		"extra":      map[string]any{"largest": max(1, s.Load.Units), "peer_intake": 100},
		"group_size": s.Gateways, "self_index": n, "kinds": []string{"std-2c", "slow-2c"}, "zones": []string{"room-east", "room-west"},
		"rules": map[string]any{"cold_from": s.Spec.ColdFrom, "fall": s.Spec.Fall, "fall_multiple": s.Spec.FallMultiple,
			"must_ask_in": 10 * time.Second, "stop_sending_within": 250 * time.Millisecond, "warm_within": s.Spec.WarmWithin},
		"services": services, "tiers_of_service": tiers, "tick": time.Millisecond,
	}
}

// PlatformLoad is the platform's traffic: two classes and two plans, by its figures.
func PlatformLoad(seed uint64, rate float64, accounts, gateways int) load.Options {
	return load.Options{Seed: seed, Rate: rate, Accounts: accounts, Spread: gateways, Units: 4,
		Classes: []load.Class{
			{Name: "health-read", Share: 0.55, Aim: 1200 * time.Millisecond, Deadline: 4 * time.Second, Worth: 1},
			{Name: "work-order", Share: 0.45, Aim: 1200 * time.Millisecond, Deadline: 4 * time.Second, Worth: 3, Unsafe: true}},
		Plans: []load.Plan{{Name: "small-farm", Share: 0.8, Rate: 2, Burst: 12, Price: 1.2},
			{Name: "utility", Share: 0.2, Rate: 14, Burst: 48, Price: 1.6}},
		Heavy: 0.1, HeavyX: 4, Retries: 0.5, Wait: 200 * time.Millisecond, Heeds: 0.6, MarkRetry: true}
}

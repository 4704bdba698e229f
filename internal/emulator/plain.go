package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ratelimit"
	"sprucelane.example/sprucelane/policy"
)

// balancer makes a gateway's decisions. It is a policy.Gateway, or the plain policy that it is compared with.
type balancer interface {
	Attach(policy.Host)
	Servers(now Time, kind policy.ListKind, list []policy.ServerInfo)
	Request(now Time, in policy.Request)
	Outcome(now Time, o policy.Outcome)
	Timer(now Time, tag uint64)
	PeerMessage(now Time, from int, m []byte)
	OwnLoads(now Time) map[policy.ServerID]policy.OwnLoad
	SetPeerLoads(now Time, list []policy.Load)
	Resumed(now Time, still time.Duration)
	Stats(now Time) policy.Stats
}

// plain is the textbook policy that policy.Gateway is compared with. It sends a request to the less loaded of two
// random members (power of two choices: Mitzenmacher, TPDS 2001), gives each gateway an even share of each quota, cap
// and hard limit, retries only where the first attempt never ran, and sends no messages to peers.
type plain struct {
	settings policy.Settings
	host     policy.Host
	rng      *rand.Rand
	members  []policy.ServerID
	inFlight map[policy.ServerID]int
	pending  map[policy.RequestID]*plainRequest
	shares   map[policy.CustomerID]*plainShare
}

// plainRequest is a request that has no final answer yet.
type plainRequest struct {
	policy.Request
	sent, inFlight int
	mayHaveRun     bool
}

// plainShare is this gateway's share of a customer's quota, hard limit and cap.
type plainShare struct {
	quota, hardLimit ratelimit.BucketShare
	refilledAt       Time
	inFlight         int
}

func newPlain(set policy.Settings, seed uint64) *plain {
	return &plain{settings: set, rng: rand.New(rand.NewPCG(seed, 1)), inFlight: map[policy.ServerID]int{},
		pending: map[policy.RequestID]*plainRequest{}, shares: map[policy.CustomerID]*plainShare{}}
}

func (p *plain) Attach(h policy.Host) { p.host = h }

func (p *plain) Servers(_ Time, kind policy.ListKind, list []policy.ServerInfo) {
	if kind == policy.ListFull {
		p.members = nil
	}
	for _, s := range list {
		p.members = slices.DeleteFunc(p.members, func(id policy.ServerID) bool { return id == s.ID })
		if s.State == policy.Ready {
			p.members = append(p.members, s.ID)
		}
	}
}

// withinQuota deducts a request's units from this gateway's share of the quota and the hard limit, and reports whether
// both had enough and the customer is within its cap. Otherwise it deducts nothing.
func (p *plain) withinQuota(now Time, in policy.Request) bool {
	plan, n := p.settings.Plans[in.Plan], float64(max(1, in.SetSize))
	a := p.shares[in.Customer]
	if a == nil {
		a = &plainShare{quota: ratelimit.BucketShare{Tokens: plan.Burst / n}, refilledAt: now}
		p.shares[in.Customer] = a
	}
	a.quota.Refill(ratelimit.Limit{Rate: plan.Rate / n, Burst: math.Max(plan.Burst/n, in.Units)}, now-a.refilledAt, 0)
	a.hardLimit.Refill(ratelimit.Limit{Rate: plan.HardLimitRate / n, Burst: plan.HardLimitBurst / n}, now-a.refilledAt, 0)
	a.refilledAt = now
	if plan.Rate > 0 && a.quota.Tokens < in.Units || plan.HardLimitRate > 0 && a.hardLimit.Tokens < in.Units ||
		plan.MaxInFlight > 0 && !ratelimit.SlotAvailable(plan.MaxInFlight, a.inFlight, 0, int(n), false) {
		return false
	}
	a.quota.Tokens, a.hardLimit.Tokens = a.quota.Tokens-in.Units, a.hardLimit.Tokens-in.Units
	return true
}

func (p *plain) Request(now Time, in policy.Request) {
	if !p.withinQuota(now, in) {
		p.host.Refuse(in.ID, p.settings.MaxRetryAfter)
		return
	}
	r := &plainRequest{Request: in}
	p.pending[in.ID] = r
	p.host.Timer(uint64(in.ID), in.Deadline-now-2*p.settings.Tick)
	p.send(r)
}

func (p *plain) send(r *plainRequest) {
	if len(p.members) == 0 {
		p.end(r)
		return
	}
	s := p.members[p.rng.IntN(len(p.members))]
	if t := p.members[p.rng.IntN(len(p.members))]; p.inFlight[t] < p.inFlight[s] {
		s = t
	}
	r.sent, r.inFlight = r.sent+1, r.inFlight+1
	p.inFlight[s]++
	p.shares[r.Customer].inFlight++
	p.host.Send(r.ID, s, r.Deadline)
}

func (p *plain) end(r *plainRequest) {
	delete(p.pending, r.ID)
	if r.mayHaveRun || r.inFlight > 0 {
		p.host.Fail(r.ID)
	} else {
		p.host.Refuse(r.ID, p.settings.MaxRetryAfter)
	}
}

func (p *plain) Outcome(_ Time, o policy.Outcome) {
	p.inFlight[o.Server]--
	r := p.pending[o.ID]
	if r == nil {
		return
	}
	r.inFlight--
	p.shares[r.Customer].inFlight--
	r.mayHaveRun = r.mayHaveRun || o.Ending != policy.Rejected && o.Ending != policy.NotConnected
	switch {
	case o.Answered:
		delete(p.pending, r.ID)
	case !r.mayHaveRun && r.sent < min(2, p.settings.MaxAttempts):
		p.send(r)
	default:
		p.end(r)
	}
}

func (p *plain) Timer(_ Time, tag uint64) {
	if r := p.pending[policy.RequestID(tag)]; r != nil {
		p.shares[r.Customer].inFlight -= r.inFlight
		p.end(r)
	}
}

func (p *plain) PeerMessage(Time, int, []byte)                    {}
func (p *plain) OwnLoads(Time) map[policy.ServerID]policy.OwnLoad { return nil }
func (p *plain) SetPeerLoads(Time, []policy.Load)                 {}
func (p *plain) Resumed(Time, time.Duration)                      {}
func (p *plain) Stats(Time) policy.Stats                          { return policy.Stats{ListedServers: len(p.members)} }

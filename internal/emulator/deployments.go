package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// This file draws deployments at random from everything that the platform's settings allow, to test the program with
// deployments that nobody has thought of. They depend on the seed alone. A change in the order of the draws changes the
// deployment that a seed gives.

// drawBetween draws a number between low and high: uniformly in the logarithm where low is above 0 and high at least
// ten times as much, otherwise uniformly.
func drawBetween(rng *rand.Rand, low, high float64) float64 {
	if low > 0 && high >= 10*low {
		return low * math.Exp(rng.Float64()*math.Log(high/low))
	}
	return low + rng.Float64()*(high-low)
}

// drawSeconds is drawBetween for durations in seconds.
func drawSeconds(rng *rand.Rand, low, high float64) time.Duration {
	return time.Duration(drawBetween(rng, low, high) * float64(time.Second))
}

// RandomScenario draws a deployment of at most the given number of gateways, with its load, its clients and its faults.
func RandomScenario(seed uint64, gateways int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 0xdeb107))
	coin := func(p float64) bool { return rng.Float64() < p }
	s := Scenario{Seed: seed, Gateways: 1 + rng.IntN(gateways), Members: 3 + rng.IntN(18),
		SlowShare: drawBetween(rng, 0, 0.5), Load: drawBetween(rng, 0.2, 1.1), HotShare: drawBetween(rng, 0, 0.3),
		Rooms: 1 + rng.IntN(4), Cells: 1 + rng.IntN(4),
		Length: 5 * time.Second, Link: drawSeconds(rng, 0.0002, 0.02), Loss: drawBetween(rng, 0, 0.06),
		Discovery: drawSeconds(rng, 0.1, 3), Retries: rng.IntN(3), HonourRetryAfter: rng.Float64()}
	s.Accounts = 3 + rng.IntN(3*s.Members)
	set := policy.Settings{Tick: time.Duration(1+rng.IntN(5)) * time.Millisecond, MaxAttempts: 1 + rng.IntN(4),
		Hedging: coin(0.4), Peers: coin(0.8), Cancel: coin(0.7), MaxRetryAfter: drawSeconds(rng, 0, 2),
		PeerMessageRate: drawBetween(rng, 20, 200), MaxUnits: 8, DrainGrace: 250 * time.Millisecond,
		SlowStartWindow: time.Second, SlowStartMultiple: 4, ListRefreshWithin: 10 * time.Second,
		InitialWarmth: drawBetween(rng, 0.15, 0.5), WarmupTime: drawSeconds(rng, 2, 16)}
	if coin(0.5) {
		set.LoadReportFields = [][]string{{"latency_ms"}, {"inflight", "queue"}, {"queue", "latency_ms"}}[rng.IntN(3)]
	}
	if coin(0.5) {
		s.EstimateCV = drawBetween(rng, 0.2, 0.7)
	}
	s.WorkByUnits = coin(0.5)
	work := drawSeconds(rng, 0.02, 0.3)
	for i := range 1 + rng.IntN(6) {
		target := max(drawSeconds(rng, 0.2, 5), 3*work)
		set.Classes = append(set.Classes, policy.Class{Name: fmt.Sprint("class-", i), LatencyTarget: target,
			Deadline:    min(time.Minute, time.Duration(float64(target)*drawBetween(rng, 1.2, 6))),
			Idempotency: policy.Idempotency(rng.IntN(3)), DedupScope: policy.DedupScope(rng.IntN(3)),
			DedupWindow: drawSeconds(rng, 0.5, 10), Value: drawBetween(rng, 0.5, 4), LateValue: drawBetween(rng, 0, 0.3)})
	}
	perAccount := 2.5 * s.Load * float64(s.Members) * 4 / work.Seconds() / float64(s.Accounts)
	for i := range 1 + rng.IntN(5) {
		p := policy.Plan{Name: fmt.Sprint("plan-", i), ValueMultiplier: drawBetween(rng, 0.5, 2),
			OverQuotaValue: drawBetween(rng, 0, 0.2), OverQuotaCost: drawBetween(rng, 0, 1.2)}
		if coin(0.8) {
			p.Rate = perAccount * drawBetween(rng, 0.5, 4)
			p.Burst = p.Rate*drawBetween(rng, 1, 5) + set.MaxUnits
		}
		if coin(0.3) || p.Rate == 0 && coin(0.7) {
			p.MaxInFlight = 1 + rng.IntN(12)
		}
		if p.Rate > 0 && coin(0.5) {
			x := drawBetween(rng, 1.4, 2.6)
			p.HardLimitRate, p.HardLimitBurst = x*p.Rate, x*p.Burst
			p.HardLimitSlack = max(set.MaxUnits, p.HardLimitBurst/10)
		}
		set.Plans = append(set.Plans, p)
		s.Spread = append(s.Spread, 1+rng.IntN(s.Gateways))
	}
	s.Spec = MemberSpec{Cores: 1 + rng.IntN(8), Speed: drawBetween(rng, 0.8, 1.2), Queue: 4 + rng.IntN(60),
		Work: work, Sigma: drawBetween(rng, 0.1, 0.8), ColdFrom: set.InitialWarmth, WarmWithin: set.WarmupTime}
	for range rng.IntN(4) {
		k := Kinds[rng.IntN(len(Kinds)-1)] // all but ClockSkew, the last: machines of a drawn deployment share one clock
		t := Fault{At: drawSeconds(rng, 0, 3), For: drawSeconds(rng, 0.3, 3), Kind: k,
			Share: drawBetween(rng, 0.05, 0.6), Size: drawBetween(rng, 1.5, 6)}
		if k == Shrink {
			t.Share = min(t.Share, 0.5)
		}
		if k == LoseMessages || k == Sever || k == DelayMessages || k == DuplicateMessages || k == CorruptMessages {
			t.Size = drawBetween(rng, 0.1, 0.6)
		}
		if k == Slow && coin(0.5) || k == Restart && coin(0.3) {
			t.Share = 1
		}
		s.Faults = append(s.Faults, t)
	}
	s.Settings = set
	return s
}

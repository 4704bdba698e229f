package emulator

import (
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Platform returns the platform's deployment with the figures that its operators state: two classes, two plans, members
// with two cores.
func Platform(seed uint64, gateways, members int, load float64, length time.Duration) Scenario {
	target, deadline := 1200*time.Millisecond, 4*time.Second
	return Scenario{Seed: seed, Gateways: gateways, Members: members, SlowShare: 0.4, Load: load,
		Accounts: max(20, 4*members), Length: length,
		Spec: MemberSpec{Cores: 2, Speed: 1, Queue: 24, Work: 130 * time.Millisecond, Sigma: 0.4, ColdFrom: 0.18,
			WarmWithin: 16 * time.Second},
		Link: time.Millisecond, Loss: 0.03, Discovery: 1500 * time.Millisecond,
		Settings: policy.Settings{Tick: time.Millisecond, MaxAttempts: 4, Hedging: true, Peers: true, Cancel: true,
			MaxRetryAfter: time.Second, PeerMessageRate: 100, MaxUnits: 8, DrainGrace: 250 * time.Millisecond,
			WarmupTime: 16 * time.Second, SlowStartWindow: time.Second, ListRefreshWithin: 10 * time.Second,
			InitialWarmth: 0.18, SlowStartMultiple: 4,
			Classes: []policy.Class{{Name: "health-read", LatencyTarget: target, Deadline: deadline, Value: 1},
				{Name: "work-order", LatencyTarget: target, Deadline: deadline, Value: 3, Idempotency: policy.NotIdempotent}},
			Plans: []policy.Plan{{Name: "small-farm", Rate: 8, Burst: 30, ValueMultiplier: 1.2, OverQuotaCost: 1.2},
				{Name: "utility", Rate: 14, Burst: 48, ValueMultiplier: 1.6, OverQuotaCost: 1.2}}}}
}

package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// settingsJSON is the platform's settings object. Durations are in ns, shares from 0 to 1. The values are documented at
// the fields of policy.Settings, policy.Class and policy.Plan; comments here give the names of these fields where they
// differ. Absent keys are 0, which disables their feature.
type settingsJSON struct {
	Allowed struct {
		Cancel        bool          `json:"cancel"`
		ConnIdle      time.Duration `json:"conn_idle"`       // Deployment.IdleTimeout
		ConnectWait   time.Duration `json:"connect_timeout"` // Deployment.ConnectTimeout
		MaxAttempts   *int          `json:"max_attempts"`    // must be positive; absent means 1
		MaxRetryAfter time.Duration `json:"max_retry_after"`
		MayDuplicate  bool          `json:"may_duplicate"` // Hedging
		Peers         bool          `json:"peers"`
		Probes        bool          `json:"probes"`
	} `json:"allowed"`
	Costs struct {
		CrossZone float64 `json:"cross_zone"`
		Peer      float64 `json:"peer"`
	} `json:"costs"`
	Discovery string `json:"discovery"` // "subscribe": Settings.Subscribe
	Extra     struct {
		Largest    float64 `json:"largest"`     // MaxUnits
		PeerIntake float64 `json:"peer_intake"` // PeerMessageRate
	} `json:"extra"`
	GroupSize int      `json:"group_size"` // Gateways
	Kinds     []string `json:"kinds"`      // names of machine types
	Report    struct {
		Names []string `json:"names"` // keys of loadReportFields, in the order of a load report
	} `json:"report"`
	Rules struct {
		ColdFrom          float64       `json:"cold_from"`           // InitialWarmth
		Fall              time.Duration `json:"fall"`                // ColdWindow
		FallMultiple      float64       `json:"fall_multiple"`       // ColdMultiple
		MustAskIn         time.Duration `json:"must_ask_in"`         // ListRefreshWithin
		StopSendingWithin time.Duration `json:"stop_sending_within"` // DrainGrace
		WarmWithin        time.Duration `json:"warm_within"`         // WarmupTime
	} `json:"rules"`
	SelfIndex int `json:"self_index"` // Self
	Services  []struct {
		Effect    string        `json:"effect"`    // a key of idempotencies
		GiveUp    time.Duration `json:"give_up"`   // Deadline
		KeyScope  string        `json:"key_scope"` // a key of dedupScopes; required if the effect is "guarded"
		LateWorth float64       `json:"late_worth"`
		Name      string        `json:"name"`
		Objective time.Duration `json:"objective"` // LatencyTarget
		Streaming bool          `json:"streaming"`
		Window    time.Duration `json:"window"` // DedupWindow
		Worth     float64       `json:"worth"`  // Value
	} `json:"services"` // Classes
	Tick  time.Duration `json:"tick"`
	Tiers []struct {
		BeyondCosts  float64 `json:"beyond_costs"`  // OverQuotaCost
		CapDepth     float64 `json:"cap_depth"`     // HardLimitBurst
		CapRate      float64 `json:"cap_rate"`      // HardLimitRate
		CeilingSlack float64 `json:"ceiling_slack"` // HardLimitSlack
		Depth        float64 `json:"depth"`         // Burst
		MaxOut       int     `json:"max_out"`       // MaxInFlight
		Name         string  `json:"name"`
		OverWorth    float64 `json:"over_worth"` // OverQuotaValue
		Price        float64 `json:"price"`      // ValueMultiplier
		Rate         float64 `json:"rate"`
	} `json:"tiers_of_service"` // Plans
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"` // names
}

// The platform's names of values, mapped to the policy's values.
var (
	idempotencies = map[string]policy.Idempotency{
		"free":        policy.Idempotent,
		"guarded":     policy.IdempotentByKey,
		"single_shot": policy.NotIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all":  policy.ScopeAll,
		"zone": policy.ScopeZone,
		"cell": policy.ScopeCell,
	}
	loadReportFields = map[string]string{
		"outstanding":  "inflight",
		"backlog":      "queue",
		"utilization":  "util",
		"recent_ms":    "latency_ms",
		"throughput":   "qps",
		"errors_per_s": "eps",
	}
)

// ParseSettings converts the platform's settings object to a Deployment, for gateways and for the simulator's adapter.
// It ignores unknown keys. It checks only the values that it must interpret; Deployment.Validate checks the rest.
func ParseSettings(text []byte) (Deployment, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		Zones:          j.Zones,
		Kinds:          j.Kinds,
		IdleTimeout:    j.Allowed.ConnIdle,
		ConnectTimeout: j.Allowed.ConnectWait,
	}
	s := policy.Settings{
		Self:              j.SelfIndex,
		Gateways:          j.GroupSize,
		Zone:              j.Zone,
		Tick:              j.Tick,
		Subscribe:         j.Discovery == "subscribe",
		Hedging:           j.Allowed.MayDuplicate,
		Peers:             j.Allowed.Peers,
		Probes:            j.Allowed.Probes,
		Cancel:            j.Allowed.Cancel,
		MaxRetryAfter:     j.Allowed.MaxRetryAfter, // also if clients aren't expected to wait that long
		PeerMessageRate:   j.Extra.PeerIntake,
		CrossZoneCost:     j.Costs.CrossZone,
		MaxUnits:          j.Extra.Largest,
		DrainGrace:        j.Rules.StopSendingWithin,
		WarmupTime:        j.Rules.WarmWithin,
		SlowStartWindow:   j.Rules.Fall,
		ListRefreshWithin: j.Rules.MustAskIn,
		InitialWarmth:     j.Rules.ColdFrom,
		SlowStartMultiple: j.Rules.FallMultiple,
	}
	if n := j.Allowed.MaxAttempts; n != nil {
		if s.MaxAttempts = *n; *n <= 0 {
			return d, errors.New("settings: allowed.max_attempts: must be above 0")
		}
	}
	for _, name := range j.Report.Names {
		s.LoadReportFields = append(s.LoadReportFields, loadReportFields[name])
	}
	for i, c := range j.Services {
		idempotency, ok := idempotencies[c.Effect]
		if !ok {
			return d, fmt.Errorf("settings: services[%d].effect: unknown %q", i, c.Effect)
		}
		scope, ok := dedupScopes[c.KeyScope]
		if !ok && idempotency == policy.IdempotentByKey {
			return d, fmt.Errorf("settings: services[%d].key_scope: unknown %q", i, c.KeyScope)
		}
		s.Classes = append(s.Classes, policy.Class{
			Name:          c.Name,
			LatencyTarget: c.Objective,
			Deadline:      c.GiveUp,
			Idempotency:   idempotency,
			DedupScope:    scope,
			DedupWindow:   c.Window,
			Value:         c.Worth,
			LateValue:     c.LateWorth,
			Streaming:     c.Streaming,
		})
	}
	for _, p := range j.Tiers {
		s.Plans = append(s.Plans, policy.Plan{
			Name:            p.Name,
			Rate:            p.Rate,
			Burst:           p.Depth,
			MaxInFlight:     p.MaxOut,
			ValueMultiplier: p.Price,
			OverQuotaValue:  p.OverWorth,
			OverQuotaCost:   p.BeyondCosts,
			HardLimitRate:   p.CapRate,
			HardLimitBurst:  p.CapDepth,
			HardLimitSlack:  p.CeilingSlack,
		})
	}
	d.Settings = s
	return d, nil
}

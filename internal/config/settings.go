package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

type settingsJSON struct {
	Allowed struct {
		Cancel        bool          `json:"cancel"`
		ConnIdle      time.Duration `json:"conn_idle"`
		ConnectWait   time.Duration `json:"connect_timeout"`
		MaxAttempts   *int          `json:"max_attempts"`
		MaxRetryAfter time.Duration `json:"max_retry_after"`
		MayDuplicate  bool          `json:"may_duplicate"`
		Peers         bool          `json:"peers"`
		Probes        bool          `json:"probes"`
	} `json:"allowed"`
	Costs struct {
		CrossZone float64 `json:"cross_zone"`
		Peer      float64 `json:"peer"`
	} `json:"costs"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Largest    float64 `json:"largest"`
		PeerIntake float64 `json:"peer_intake"`
	} `json:"extra"`
	GroupSize int      `json:"group_size"`
	Kinds     []string `json:"kinds"`
	Report    struct {
		Names []string `json:"names"`
	} `json:"report"`
	Rules struct {
		ColdFrom          float64       `json:"cold_from"`
		Fall              time.Duration `json:"fall"`
		FallMultiple      float64       `json:"fall_multiple"`
		MustAskIn         time.Duration `json:"must_ask_in"`
		StopSendingWithin time.Duration `json:"stop_sending_within"`
		WarmWithin        time.Duration `json:"warm_within"`
	} `json:"rules"`
	SelfIndex int `json:"self_index"`
	Services  []struct {
		Effect    string        `json:"effect"`
		GiveUp    time.Duration `json:"give_up"`
		KeyScope  string        `json:"key_scope"`
		LateWorth float64       `json:"late_worth"`
		Name      string        `json:"name"`
		Objective time.Duration `json:"objective"`
		Streaming bool          `json:"streaming"`
		Window    time.Duration `json:"window"`
		Worth     float64       `json:"worth"`
	} `json:"services"`
	Tick  time.Duration `json:"tick"`
	Tiers []struct {
		BeyondCosts  float64 `json:"beyond_costs"`
		CapDepth     float64 `json:"cap_depth"`
		CapRate      float64 `json:"cap_rate"`
		CeilingSlack float64 `json:"ceiling_slack"`
		Depth        float64 `json:"depth"`
		MaxOut       int     `json:"max_out"`
		Name         string  `json:"name"`
		OverWorth    float64 `json:"over_worth"`
		Price        float64 `json:"price"`
		Rate         float64 `json:"rate"`
	} `json:"tiers_of_service"`
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"`
}

// Deployment is the settings object: what the module is told, and what only the sockets need.
type Deployment struct {
	policy.Settings
	Generation     int           // its number, where settings are exchanged
	Zones, Kinds   []string      // the names that discovery uses, in the module's order
	IdleTimeout    time.Duration // after which a pool member's machine closes an idle connection
	ConnectTimeout time.Duration // after which a connection that isn't up never comes up
}

// Same tells whether two are the same settings.
func (d Deployment) Equal(o Deployment) bool { return reflect.DeepEqual(d, o) }

// Keep gives the settings with what can't change without a start as it is in those of the start, and names the keys that
// differ in it.
func (d Deployment) WithRestartKeysOf(start Deployment) (kept Deployment, keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"settings.self_index", d.Self == start.Self}, {"settings.group_size", d.Gateways == start.Gateways},
		{"settings.zone", d.Zone == start.Zone}, {"settings.zones", slices.Equal(d.Zones, start.Zones)},
		{"settings.kinds", slices.Equal(d.Kinds, start.Kinds)}, {"settings.allowed.peers", d.Peers == start.Peers},
		{"settings.extra.peer_intake", d.PeerMessageRate == start.PeerMessageRate}, {"settings.discovery", d.Subscribe == start.Subscribe},
		{"settings.report.names", slices.Equal(d.LoadReportFields, start.LoadReportFields)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	d.Self, d.Gateways, d.Zone, d.Zones, d.Kinds = start.Self, start.Gateways, start.Zone, start.Zones, start.Kinds
	d.Peers, d.PeerMessageRate, d.Subscribe, d.LoadReportFields = start.Peers, start.PeerMessageRate, start.Subscribe, start.LoadReportFields
	return d, keys
}

// The wire's words and the field's.
var (
	idempotencies    = map[string]policy.Idempotency{"free": policy.Idempotent, "guarded": policy.IdempotentByKey, "single_shot": policy.NotIdempotent}
	dedupScopes      = map[string]policy.DedupScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
	loadReportFields = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
		"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}
)

// LoadFields gives the place in a load report of each field that members may name, by either of its words.
func (d Deployment) LoadFields() map[string]int {
	fields := map[string]int{}
	for i, name := range d.LoadReportFields {
		fields[name] = i
		for wire, word := range loadReportFields {
			if word == name {
				fields[wire] = i
			}
		}
	}
	return fields
}

// ParseSettings maps the settings object to the module's words, for the gateway and the adapter alike. Keys it
// does not know are ignored.
func ParseSettings(text []byte) (Deployment, error) {
	var b settingsJSON
	if err := json.Unmarshal(text, &b); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{Zones: b.Zones, Kinds: b.Kinds, IdleTimeout: b.Allowed.ConnIdle, ConnectTimeout: b.Allowed.ConnectWait}
	s := policy.Settings{Self: b.SelfIndex, Gateways: b.GroupSize, Zone: b.Zone, Tick: b.Tick,
		Subscribe: b.Discovery == "subscribe",
		Hedging:   b.Allowed.MayDuplicate, Peers: b.Allowed.Peers, Probes: b.Allowed.Probes,
		Cancel:          b.Allowed.Cancel,
		PeerMessageRate: b.Extra.PeerIntake, CrossZoneCost: b.Costs.CrossZone,
		MaxUnits: b.Extra.Largest, DrainGrace: b.Rules.StopSendingWithin,
		WarmupTime: b.Rules.WarmWithin, ColdWindow: b.Rules.Fall, ListRefreshWithin: b.Rules.MustAskIn,
		InitialWarmth: b.Rules.ColdFrom, ColdMultiple: b.Rules.FallMultiple}
	if n := b.Allowed.MaxAttempts; n != nil {
		if s.MaxAttempts = *n; *n <= 0 {
			return d, errors.New("settings: allowed.max_attempts: must be above 0")
		}
	}
	// A site that doesn't count on its clients heeding a wait still names how long one may be, and a refusal tells
	// when to come back whether it is heeded or not.
	s.MaxRetryAfter = b.Allowed.MaxRetryAfter
	for _, n := range b.Report.Names {
		s.LoadReportFields = append(s.LoadReportFields, loadReportFields[n])
	}
	for i, c := range b.Services {
		effect, ok := idempotencies[c.Effect]
		if !ok {
			return d, fmt.Errorf("settings: services[%d].effect: unknown %q", i, c.Effect)
		}
		scope, ok := dedupScopes[c.KeyScope]
		if !ok && effect == policy.IdempotentByKey {
			return d, fmt.Errorf("settings: services[%d].key_scope: unknown %q", i, c.KeyScope)
		}
		s.Classes = append(s.Classes, policy.Class{Name: c.Name, LatencyTarget: c.Objective, Deadline: c.GiveUp,
			Idempotency: effect, DedupScope: scope, DedupWindow: c.Window, Value: c.Worth, LateValue: c.LateWorth,
			Streaming: c.Streaming})
	}
	for _, p := range b.Tiers {
		s.Plans = append(s.Plans, policy.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Depth, MaxInFlight: p.MaxOut,
			ValueMultiplier: p.Price, OverQuotaValue: p.OverWorth, OverQuotaCost: p.BeyondCosts, HardLimitRate: p.CapRate,
			HardLimitBurst: p.CapDepth, HardLimitSlack: p.CeilingSlack})
	}
	d.Settings = s
	return d, nil
}

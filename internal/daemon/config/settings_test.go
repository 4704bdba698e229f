package config

import (
	"testing"

	"sprucelane.example/sprucelane/policy"
)

func TestSettingsMapping(t *testing.T) {
	s, err := ParseSettings([]byte(`{"group_size":3,"self_index":1,"tick":4000000,"new_key":[1],"report":{"names":["utilization"]},
		"allowed":{"max_attempts":3,"may_duplicate":true,"peers":true},"discovery":"subscribe",
		"services":[{"name":"a","objective":500,"give_up":2000,"effect":"guarded","key_scope":"cell","window":9,"worth":2}],
		"tiers_of_service":[{"name":"p","rate":1.5,"depth":4,"max_out":2,"price":0.5,"cap_rate":3,"cap_depth":8}]}`))
	if err != nil || s.Gateways != 3 || s.Self != 1 || !s.Subscribe || !s.Hedging || s.LoadReportFields[0] != "util" {
		t.Fatalf("%+v %v", s, err)
	}
	if c := s.Classes[0]; c.Idempotency != policy.IdempotentByKey || c.DedupScope != policy.ScopeCell || c.LatencyTarget != 500 || c.DedupWindow != 9 {
		t.Fatalf("%+v", c)
	}
	if p := s.Plans[0]; p.Rate != 1.5 || p.Burst != 4 || p.MaxInFlight != 2 || p.HardLimitRate != 3 {
		t.Fatalf("%+v", p)
	}
	for _, bad := range []string{"", "[]", `{"services":[{"effect":"odd"}]}`,
		`{"services":[{"effect":"guarded","key_scope":"odd"}]}`} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%q accepted", bad)
		}
	}
}

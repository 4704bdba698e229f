package proxy

import (
	"math"
	"testing"

	"sprucelane.example/sprucelane/internal/configuration"
)

// TestTrafficSplit distributes the requests of several gateways by a traffic split and compares a backend's share
// with its weight, in any 200 consecutive requests.
func TestTrafficSplit(t *testing.T) {
	route := &configuration.Route{Name: "r", Backend: "none", TrafficSplit: []configuration.Split{
		{Backend: "new", Weight: 3}, {Backend: "off", Weight: 0}, {Backend: "old", Weight: 17},
	}}
	for _, gateways := range []int{1, 11, 62, 255} {
		fleet := make([]Proxy, gateways)
		var chosen []string
		for i := range 3000 {
			q := &request{proxy: &fleet[i%gateways], route: route}
			chosen = append(chosen, q.chooseBackend())
		}
		worst := 0.0
		count := map[string]int{}
		for i, name := range chosen {
			count[name]++
			if i >= 200 {
				count[chosen[i-200]]--
				worst = max(worst, math.Abs(float64(count["new"])/200-0.15))
			}
		}
		if count["off"]+count["none"] > 0 {
			t.Errorf("%d gateways: a backend without a share was chosen", gateways)
		}
		if worst > 0.1 {
			t.Errorf("%d gateways: a backend's share is off by %.3f in 200 requests, want at most 0.1", gateways, worst)
		}
		t.Logf("%d gateways: off by at most %.3f in any 200 requests", gateways, worst)
	}
	if only := splitBackend(route, 0.999999); only != "old" {
		t.Errorf("the end of the interval goes to backend %q, want \"old\"", only)
	}
}

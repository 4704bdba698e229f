package policy

import (
	"math"
	"strings"
	"testing"
)

func TestInvalidSettings(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"classes":             func(s *Settings) { s.Classes = nil },
		"classes[0].deadline": func(s *Settings) { s.Classes[0].Deadline = 0 },
		"classes[0].aim":      func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
		"classes[0].worth":    func(s *Settings) { s.Classes[0].Value = math.NaN() },
		"plans":               func(s *Settings) { s.Plans = nil },
		"plans[0].rate":       func(s *Settings) { s.Plans[0].Rate = -1 },
		"plans[0].ceiling":    func(s *Settings) { s.Plans[0].HardLimitRate = -1 },
		"gateways":            func(s *Settings) { s.Self = 5 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s is invalid: got error %v", field, err)
		}
	}
}

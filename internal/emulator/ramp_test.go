package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The slow-start budget of a cold member holds over the whole fleet: thirty gateways that all restart, or receive no
// messages of peers, or only those of some, while half of the members or all come back cold, send a member together no
// more than its budget, from when their server lists say that it is cold. The operators allow two standard
// deviations and two requests more; the checker allows one request more.
func TestRampHoldsForThirtyGateways(t *testing.T) {
	type list = []Trouble
	for name, troubles := range map[string]list{
		"members replaced":        {{At: 2 * second, For: 3 * second, Kind: Replace, Part: 0.5}},
		"members end":             {{At: 2 * second, For: second, Kind: Stop, Part: 0.5}},
		"all members end":         {{At: 2 * second, For: second, Kind: Stop, Part: 1}},
		"and all gateways":        {{At: 2 * second, For: second, Kind: Stop, Part: 0.5}, {At: 2500 * time.Millisecond, Kind: Restart, Part: 1}},
		"and most gateways":       {{At: 2 * second, For: second, Kind: Stop, Part: 0.5}, {At: 3 * second, Kind: Restart, Part: 0.7}},
		"nobody hears the others": {{At: second, For: 8 * second, Kind: Split, Part: 1}, {At: 2 * second, For: second, Kind: Stop, Part: 0.5}},
		"half hear nobody":        {{At: second, For: 8 * second, Kind: Split, Part: 0.5}, {At: 2 * second, For: 3 * second, Kind: Replace, Part: 0.5}},
	} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				s := Platform(seed, 30, 10, 0.45*float64(1+seed%2), 10*second) // half of what they can do, and nearly all
				s.Accounts, s.Troubles, s.Discovery = 300, troubles, 20*time.Millisecond
				r, err := Play(s)
				require.NoError(t, err)
				assert.LessOrEqual(t, r.PeakCold, s.Settings.SlowStartMultiple)
				assert.Positive(t, r.PeakCold, "cold members were sent something")
			})
		}
	}
}

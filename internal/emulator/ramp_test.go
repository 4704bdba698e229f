package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The slow-start budget of a cold member holds over the whole fleet. Thirty gateways together send a cold member no more
// than its budget once their server lists say that it is cold, while half or all of the members come back cold and the
// gateways restart, or receive no messages from peers or only those of some peers. The operators allow two standard
// deviations and two requests beyond the budget; the checker allows one request.
func TestSlowStartBudgetHoldsForThirtyGateways(t *testing.T) {
	type list = []Fault
	for name, faults := range map[string]list{
		"members replaced":        {{At: 2 * second, For: 3 * second, Kind: Replace, Share: 0.5}},
		"members end":             {{At: 2 * second, For: second, Kind: Stop, Share: 0.5}},
		"all members end":         {{At: 2 * second, For: second, Kind: Stop, Share: 1}},
		"and all gateways":        {{At: 2 * second, For: second, Kind: Stop, Share: 0.5}, {At: 2500 * time.Millisecond, Kind: Restart, Share: 1}},
		"and most gateways":       {{At: 2 * second, For: second, Kind: Stop, Share: 0.5}, {At: 3 * second, Kind: Restart, Share: 0.7}},
		"nobody hears the others": {{At: second, For: 8 * second, Kind: Split, Share: 1}, {At: 2 * second, For: second, Kind: Stop, Share: 0.5}},
		"half hear nobody":        {{At: second, For: 8 * second, Kind: Split, Share: 0.5}, {At: 2 * second, For: 3 * second, Kind: Replace, Share: 0.5}},
	} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				s := Platform(seed, 30, 10, 0.45*float64(1+seed%2), 10*second) // half of the members' capacity, and nearly all of it
				s.Accounts, s.Faults, s.Discovery = 300, faults, 20*time.Millisecond
				r, err := Simulate(s)
				require.NoError(t, err)
				assert.LessOrEqual(t, r.PeakCold, s.Settings.SlowStartMultiple)
				assert.Positive(t, r.PeakCold, "cold members must receive requests")
			})
		}
	}
}

package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// For all demands, lost and late grants, and restarts, the shares together admit in no window more than the limit's
// burst, its refill in the window, and its refill in the time that a grant may be in transit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "gateways")
		rate, burst := rapid.Float64Range(0.5, 50).Draw(t, "rate"), rapid.Float64Range(1, 120).Draw(t, "burst")
		limit := Limit{Rate: rate / float64(n), Burst: burst / float64(n)}
		late := rapid.Float64Range(0, 0.5).Draw(t, "late")
		type grant struct {
			to      int
			message byte
			sentAt  float64
		}
		shares, deficits, at := make([]BucketShare, n), make([][]byte, n), make([]float64, n)
		for i := range shares {
			shares[i].Tokens, deficits[i] = limit.Burst, make([]byte, n)
		}
		var inTransit []grant
		now, remaining := 0.0, burst+rate*late+1e-6 // remaining: of one bucket with the whole limit and the allowed excess
		refill := func(i int) {
			shares[i].Refill(limit, time.Duration((now-at[i])*1e9), 0)
			at[i] = now
		}
		for range 300 {
			d := rapid.Float64Range(0, 0.1).Draw(t, "pause")
			now, remaining = now+d, math.Min(burst+rate*late+1e-6, remaining+rate*d)
			i, j := rapid.IntRange(0, n-1).Draw(t, "sender"), rapid.IntRange(0, n-1).Draw(t, "receiver")
			refill(i)
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 4:
				if units := rapid.Float64Range(0, limit.Burst).Draw(t, "units"); shares[i].Tokens >= units {
					shares[i].Tokens -= units
					remaining -= units
					if remaining < 0 {
						t.Fatalf("%.2f units beyond the limit at %.2f s", -remaining, now)
					}
				}
			case action < 7 && i != j:
				inTransit = append(inTransit, grant{j, shares[i].Grant(limit, deficits[i][j], n), now})
				deficits[i][j] = 0
			case action < 9 && len(inTransit) > 0:
				k := rapid.IntRange(0, len(inTransit)-1).Draw(t, "delivered")
				g := inTransit[k]
				inTransit = append(inTransit[:k], inTransit[k+1:]...)
				refill(g.to)
				from := rapid.IntRange(0, n-1).Draw(t, "from")
				deficits[g.to][from], _ = shares[g.to].Receive(limit, g.message, n, now-g.sentAt > late)
			case action == 9: // a restart: the gateway's share starts empty
				shares[i].Tokens = 0
			}
		}
	})
}

// A gateway with all of a customer's demand gets the tokens that the others don't need within a few messages, although
// its own share is only a quarter.
func TestGrantsFollowDemand(t *testing.T) {
	const n = 4
	limit := Limit{Rate: 27.0 / n, Burst: 60.0 / n}
	var shares [n]BucketShare
	for i := range shares {
		shares[i].Tokens = limit.Burst
	}
	in := 0
	for range 100 { // rounds of 100 ms: gateway 0 sends a grant message, the others answer
		for i := range shares {
			shares[i].Refill(limit, 100*time.Millisecond, 0)
		}
		for k := 0; k < 3 && shares[0].Tokens >= 1; k++ {
			shares[0].Tokens--
			in++
		}
		message := shares[0].Grant(limit, 0, n)
		for i := 1; i < n; i++ {
			deficit, uneven := shares[i].Receive(limit, message, n, false)
			if uneven {
				shares[0].Receive(limit, shares[i].Grant(limit, deficit, n), n, false)
			}
		}
	}
	assert.Greater(t, in, 27*10, "one of four gateways admits the limit's rate and a part of its burst")
	assert.LessOrEqual(t, in, 27*10+60)
}

// Any byte is a valid grant: it grants a share's burst at most, and nothing to a full share.
func TestAnyGrantByte(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 16}
	for w := range 256 {
		full, empty := BucketShare{Tokens: 16}, BucketShare{}
		full.Receive(limit, byte(w), 2, false)
		empty.Receive(limit, byte(w), 2, true)
		assert.Equal(t, 16.0, full.Tokens)
		assert.Equal(t, 0.0, empty.Tokens)
	}
	none := BucketShare{}
	deficit, uneven := none.Receive(Limit{}, 255, 2, false)
	assert.Equal(t, BucketShare{}, none)
	assert.Zero(t, deficit)
	assert.False(t, uneven)
}

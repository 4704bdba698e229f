package ledger

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Whatever is asked at which gateway, whichever words are lost or come late, and whoever starts again: in no window do the
// parts let in more than the ceiling's burst, what it fills in the window, and what it fills while a grant is under way.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "gateways")
		rate, burst := rapid.Float64Range(0.5, 50).Draw(t, "rate"), rapid.Float64Range(1, 120).Draw(t, "burst")
		s := Limit{Rate: rate / float64(n), Burst: burst / float64(n)}
		late := rapid.Float64Range(0, 0.5).Draw(t, "late")
		type word struct {
			to   int
			word byte
			sent float64
		}
		parts, lacks, at := make([]BucketShare, n), make([][]byte, n), make([]float64, n)
		for i := range parts {
			parts[i].Tokens, lacks[i] = s.Burst, make([]byte, n)
		}
		var under []word
		now, left := 0.0, burst+rate*late+1e-6 // as the rule counts it, from the outside
		fill := func(i int) {
			parts[i].Refill(s, time.Duration((now-at[i])*1e9), 0)
			at[i] = now
		}
		for range 300 {
			d := rapid.Float64Range(0, 0.1).Draw(t, "pause")
			now, left = now+d, math.Min(burst+rate*late+1e-6, left+rate*d)
			i, j := rapid.IntRange(0, n-1).Draw(t, "who"), rapid.IntRange(0, n-1).Draw(t, "whom")
			fill(i)
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 4:
				if units := rapid.Float64Range(0, s.Burst).Draw(t, "units"); parts[i].Tokens >= units {
					parts[i].Tokens -= units
					left -= units
					if left < 0 {
						t.Fatalf("%.2f units beyond the ceiling at %.2f s", -left, now)
					}
				}
			case what < 7 && i != j:
				under = append(under, word{j, parts[i].Grant(s, lacks[i][j], n), now})
				lacks[i][j] = 0
			case what < 9 && len(under) > 0:
				k := rapid.IntRange(0, len(under)-1).Draw(t, "comes")
				w := under[k]
				under = append(under[:k], under[k+1:]...)
				fill(w.to)
				from := rapid.IntRange(0, n-1).Draw(t, "of")
				lacks[w.to][from], _ = parts[w.to].Receive(s, w.word, n, now-w.sent > late)
			case what == 9: // another life, which begins with nothing
				parts[i].Tokens = 0
			}
		}
	})
}

// A gateway that is asked for all of an account gets what the others don't need, in a few words, though its own part holds
// a quarter.
func TestGrantsFollowDemand(t *testing.T) {
	const n = 4
	s := Limit{Rate: 27.0 / n, Burst: 60.0 / n}
	var parts [n]BucketShare
	for i := range parts {
		parts[i].Tokens = s.Burst
	}
	in := 0
	for range 100 { // rounds of a tenth of a second: one tells, the others answer
		for i := range parts {
			parts[i].Refill(s, 100*time.Millisecond, 0)
		}
		for k := 0; k < 3 && parts[0].Tokens >= 1; k++ {
			parts[0].Tokens--
			in++
		}
		told := parts[0].Grant(s, 0, n)
		for i := 1; i < n; i++ {
			lacks, uneven := parts[i].Receive(s, told, n, false)
			if uneven {
				parts[0].Receive(s, parts[i].Grant(s, lacks, n), n, false)
			}
		}
	}
	assert.Greater(t, in, 27*10, "the ceiling's rate and a part of its burst, through one of four")
	assert.LessOrEqual(t, in, 27*10+60)
}

// Words that can't be read as such change nothing that matters: any byte grants a part's burst at the most, and none to who
// has one already.
func TestAnyGrantByte(t *testing.T) {
	s := Limit{Rate: 1, Burst: 16}
	for w := range 256 {
		full, empty := BucketShare{Tokens: 16}, BucketShare{}
		full.Receive(s, byte(w), 2, false)
		empty.Receive(s, byte(w), 2, true)
		assert.Equal(t, 16.0, full.Tokens)
		assert.Equal(t, 0.0, empty.Tokens)
	}
	none := BucketShare{}
	lacks, uneven := none.Receive(Limit{}, 255, 2, false)
	assert.Equal(t, BucketShare{}, none)
	assert.Zero(t, lacks)
	assert.False(t, uneven)
}

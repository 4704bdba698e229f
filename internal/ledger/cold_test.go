package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// server answers what it is sent, so many a second, in the order in which it comes.
type warmingServer struct {
	per  time.Duration
	free time.Duration
}

func (s *warmingServer) answers(now time.Duration) time.Duration {
	s.free = max(s.free, now) + s.per
	return s.free
}

// colds plays a member that has just started before so many gateways, all of which send it what their parts allow and know
// nothing but what it answers them. It gives the sends of all.
func simulateSlowStart(seed uint64, n int, rate float64, length time.Duration) (sends []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const step = 5 * time.Millisecond
	s := &warmingServer{per: time.Duration(float64(time.Second) / rate)}
	parts, does, due := make([]SlowStartBudget, n), make([]float64, n), make([][]time.Duration, n)
	for i := range parts {
		parts[i].Credit = rng.Float64()
	}
	l := SlowStartLimit{Window: time.Second, Multiple: 4, Gateways: n}
	for now := step; now < length; now += step {
		for i := range parts {
			does[i] *= 1 - step.Seconds()/2 // answers of late, as the policy counts them: over two windows
			for len(due[i]) > 0 && due[i][0] <= now {
				does[i]++
				due[i] = due[i][1:]
			}
			if l.Capacity = does[i] / 2; parts[i].Allows(now, l) {
				parts[i].RecordSend(now)
				sends = append(sends, now)
				due[i] = append(due[i], s.answers(now))
			}
		}
	}
	return sends
}

// most gives the most sends within a window.
func maxInWindow(sends []time.Duration, window time.Duration) (n int) {
	for i, at := range sends {
		from, _ := slices.BinarySearch(sends[:i], at-window)
		n = max(n, i-from+1)
	}
	return n
}

// However many gateways send a member all that their parts allow, and though none knows what it can do: together they stay
// within four times that and one for chance, and come to all that it can do within seconds.
func TestSharesOfAWarmingServer(t *testing.T) {
	for _, n := range []int{1, 3, 10, 100} {
		for _, rate := range []float64{3, 12, 40} {
			sends := simulateSlowStart(1, n, rate, 12*time.Second)
			got := maxInWindow(sends, time.Second)
			assert.LessOrEqual(t, float64(got), 4*rate+1, "%d gateways, %v a second", n, rate)
			after, _ := slices.BinarySearch(sends, 8*time.Second)
			assert.GreaterOrEqual(t, float64(len(sends)-after), 0.8*4*rate, "%d gateways, %v a second", n, rate)
		}
	}
}

// A member that answers nothing is sent one attempt in a window by all together, and less where turns wait for each other.
func TestWarmingServerWithoutAnswers(t *testing.T) {
	for _, n := range []int{1, 5, 50} {
		parts := make([]SlowStartBudget, n)
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		for i := range parts {
			parts[i].Credit = rng.Float64()
		}
		sent := 0
		for now := time.Millisecond; now < 60*time.Second; now += 10 * time.Millisecond {
			for i := range parts {
				if parts[i].Allows(now, SlowStartLimit{Window: time.Second, Multiple: 4, Gateways: n}) {
					parts[i].RecordSend(now)
					sent++
				}
			}
		}
		assert.True(t, sent >= 10 && sent <= 75, "%d gateways: %d in a minute", n, sent)
		assert.True(t, parts[0].SentWithin(2*time.Second, time.Minute) || n > 1)
	}
	assert.False(t, (&SlowStartBudget{}).SentWithin(time.Hour, time.Hour))
}

package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// warmingServer answers requests one after another, each after a fixed time.
type warmingServer struct {
	serviceTime time.Duration
	freeAt      time.Duration
}

// answerAt returns when a request that arrives now will be answered.
func (s *warmingServer) answerAt(now time.Duration) time.Duration {
	s.freeAt = max(s.freeAt, now) + s.serviceTime
	return s.freeAt
}

// simulateSlowStart simulates a server that has just started and n gateways, which send as many attempts as their
// budgets allow and know only the answers that they got from the server. It returns the times at which attempts were
// sent.
func simulateSlowStart(seed uint64, n int, rate float64, length time.Duration) (sends []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const step = 5 * time.Millisecond
	s := &warmingServer{serviceTime: time.Duration(float64(time.Second) / rate)}
	shares, answered, due := make([]SlowStartBudget, n), make([]float64, n), make([][]time.Duration, n)
	for i := range shares {
		shares[i].Credit = rng.Float64()
	}
	l := SlowStartLimit{Window: time.Second, Multiple: 4, Gateways: n}
	for now := step; now < length; now += step {
		for i := range shares {
			answered[i] *= 1 - step.Seconds()/2 // decays over two windows, as package policy counts answers
			for len(due[i]) > 0 && due[i][0] <= now {
				answered[i]++
				due[i] = due[i][1:]
			}
			if l.Capacity = answered[i] / 2; shares[i].Allows(now, l) {
				shares[i].RecordSend(now)
				sends = append(sends, now)
				due[i] = append(due[i], s.answerAt(now))
			}
		}
	}
	return sends
}

// maxInWindow returns the highest number of attempts within any window.
func maxInWindow(sends []time.Duration, window time.Duration) (n int) {
	for i, at := range sends {
		from, _ := slices.BinarySearch(sends[:i], at-window)
		n = max(n, i-from+1)
	}
	return n
}

// For any number of gateways that don't know a server's capacity at first, all of them together send at most four times
// the capacity in a window, with a tolerance of one attempt, and after 8 s at least 0.8 of the capacity.
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

// A server that answers nothing is sent one attempt in a window by all gateways together, and less where turns wait for
// each other.
func TestWarmingServerWithoutAnswers(t *testing.T) {
	for _, n := range []int{1, 5, 50} {
		shares := make([]SlowStartBudget, n)
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		for i := range shares {
			shares[i].Credit = rng.Float64()
		}
		sent := 0
		for now := time.Millisecond; now < 60*time.Second; now += 10 * time.Millisecond {
			for i := range shares {
				if shares[i].Allows(now, SlowStartLimit{Window: time.Second, Multiple: 4, Gateways: n}) {
					shares[i].RecordSend(now)
					sent++
				}
			}
		}
		assert.True(t, sent >= 10 && sent <= 75, "%d gateways: %d in a minute", n, sent)
		assert.True(t, shares[0].SentWithin(2*time.Second, time.Minute) || n > 1)
	}
	assert.False(t, (&SlowStartBudget{}).SentWithin(time.Hour, time.Hour))
}

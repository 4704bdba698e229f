package storm

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The strategies that were considered are compared in the same storms, by the mean time to recover and by the highest
// load of a warming member as a multiple of its capacity. docs/design/storms.md has the table.
func TestCompareStrategies(t *testing.T) {
	const seeds = 3
	mean := map[string]time.Duration{}
	for _, strategy := range []string{"none", "budget", "concurrency", "ramp"} {
		for name := range retryPolicies {
			var recovery time.Duration
			peak, share := 0.0, 0.0
			for seed := range uint64(seeds) {
				s := newSimulation(seed, 3, 12, 0.6)
				s.guarded, s.retryPolicy = strategy == "ramp", retryPolicies[name]
				for range s.guards {
					switch strategy {
					case "budget":
						s.alternatives = append(s.alternatives, &retryBudget{})
					case "concurrency":
						s.alternatives = append(s.alternatives, &adaptiveConcurrency{limit: 20})
					}
				}
				took, served := s.runOutage()
				recovery += took / seeds
				peak, share = max(peak, s.peakOverload), share+served/seeds
			}
			t.Logf("%-11s %-9s recovered after %4.0f s, goodput in 60 s %.2f, peak at a warming member %.1f", strategy, name,
				recovery.Seconds(), share, peak)
			mean[strategy] += recovery / time.Duration(len(retryPolicies))
		}
	}
	assert.Less(t, mean["ramp"], mean["none"]/2)
	assert.LessOrEqual(t, mean["ramp"], mean["budget"]+second)
	assert.LessOrEqual(t, mean["ramp"], mean["concurrency"]+second)
}

// admissionControl is one of the strategies that were considered.
type admissionControl interface {
	admit(retry bool) bool
	attemptEnded(Outcome)
}

// retryBudget admits all first attempts, and a fixed ratio of retries to them (as the retry budgets of Finagle and
// Envoy).
type retryBudget struct{ tokens float64 }

func (b *retryBudget) admit(retry bool) bool {
	if !retry {
		b.tokens = math.Min(10, b.tokens+0.2)
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
func (b *retryBudget) attemptEnded(Outcome) {}

// adaptiveConcurrency limits the attempts in flight. The limit rises by one for every limit attempts that end in time,
// and falls by a tenth for each that doesn't (additive increase, multiplicative decrease).
type adaptiveConcurrency struct{ limit, inFlight float64 }

func (c *adaptiveConcurrency) admit(bool) bool {
	if c.inFlight >= math.Max(1, c.limit) {
		return false
	}
	c.inFlight++
	return true
}

func (c *adaptiveConcurrency) attemptEnded(end Outcome) {
	if c.inFlight--; end == InTime {
		c.limit += 1 / math.Max(1, c.limit)
	} else {
		c.limit = math.Max(1, 0.9*c.limit)
	}
}

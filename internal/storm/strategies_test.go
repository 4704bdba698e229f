package storm

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The strategies that were considered, in the same storms: mean time to recover, and how much more than it could do
// a warming member was sent at most. docs/design/storms.md has the table.
func TestCompareStrategies(t *testing.T) {
	const seeds = 3
	mean := map[string]time.Duration{}
	for _, strategy := range []string{"none", "budget", "concurrency", "ramp"} {
		for name := range retryPolicies {
			var back time.Duration
			peak, share := 0.0, 0.0
			for seed := range uint64(seeds) {
				w := newSimulation(seed, 3, 12, 0.6)
				w.guarded, w.retryPolicy = strategy == "ramp", retryPolicies[name]
				for range w.guards {
					switch strategy {
					case "budget":
						w.alternatives = append(w.alternatives, &retryBudget{})
					case "concurrency":
						w.alternatives = append(w.alternatives, &adaptiveConcurrency{limit: 20})
					}
				}
				took, served := w.runOutage()
				back += took / seeds
				peak, share = max(peak, w.peakOverload), share+served/seeds
			}
			t.Logf("%-11s %-9s recovered after %4.0f s, goodput in 60 s %.2f, peak at a warming member %.1f", strategy, name,
				back.Seconds(), share, peak)
			mean[strategy] += back / time.Duration(len(retryPolicies))
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

// retryBudget admits retries as a ratio of the first attempts, and all of those (Finagle's and Envoy's retry budgets).
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

// adaptiveConcurrency limits the attempts in flight: one more for as many that end in time, and a tenth less for
// each that doesn't (additive increase, multiplicative decrease).
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

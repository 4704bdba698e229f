package policy

import (
	"math"
	"testing"
)

// The latency of a request is estimated from its units if latency depends on them, and otherwise from the mean alone.
func TestLatencyByUnits(t *testing.T) {
	var grows, same, one decayingFit
	for i := range 200 {
		units := 1 + float64(i%6)
		grows.add(0.99, units, 0.05+0.15*units)
		same.add(0.99, units, 0.3)
		one.add(0.99, 2, 0.3)
	}
	for units := 1.0; units <= 6; units++ {
		if got := grows.predict(units); math.Abs(got-0.05-0.15*units) > 0.01 {
			t.Errorf("%v units: predicted %v, want 0.05 plus 0.15 a unit", units, got)
		}
		if math.Abs(same.predict(units)-0.3) > 0.01 || math.Abs(one.predict(units)-0.3) > 0.01 {
			t.Errorf("%v units: predicted %v and %v, want 0.3", units, same.predict(units), one.predict(units))
		}
	}
}

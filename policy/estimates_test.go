package policy

import (
	"math"
	"testing"
)

// How long a request takes is estimated by its units where they matter, and by its class alone where they don't.
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
			t.Errorf("%v units: %v", units, got)
		}
		if math.Abs(same.predict(units)-0.3) > 0.01 || math.Abs(one.predict(units)-0.3) > 0.01 {
			t.Errorf("%v units: %v and %v where all take 0.3", units, same.predict(units), one.predict(units))
		}
	}
}

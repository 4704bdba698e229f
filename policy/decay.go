package policy

import (
	"math"
	"time"
)

// Sums and means that decay exponentially, and sums over all gateways.

// decayFactor returns the share that is left, after age, of a sum that decays exponentially with the given time
// constant.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// pushSum is this gateway's part of two figures that all gateways sum up by push-sum gossip (Kempe, Dobra and Gehrke,
// FOCS 2003). local holds what was added at this gateway and not yet spread; pooled is this gateway's part of what all
// gateways have spread. Both decay with the same time constant. If one of the figures is the weight of push-sum, it is
// the last one; its pooled part tends to 1, so that pooled figure / pooled weight estimates the mean over the gateways.
type pushSum struct {
	local, pooled [2]float64
	decayedAt     Time
}

// decay decays the sums up to now. weight is the index of the figure that is the weight, or 0 if there is none.
func (t *pushSum) decay(now Time, timeConstant time.Duration, weight int) {
	if now > t.decayedAt {
		f := decayFactor(now-t.decayedAt, timeConstant)
		for i := range t.local {
			t.local[i] *= f
			t.pooled[i] *= f
		}
		if weight > 0 {
			t.pooled[weight] += 1 - f
		}
		t.decayedAt = now
	}
}

// total returns the estimated sum of a figure over all n gateways. It applies only if there is no weight.
func (t *pushSum) total(figure, n int) float64 {
	return t.local[figure] + float64(n)*t.pooled[figure]
}

// split removes the mass for one peer from the sums and returns it. left is the number of peers, including this one,
// that have yet to receive a part in this round. n is the number of gateways that share the figures: each of them
// ends up with an equal part of the local sums. The pooled sums are split evenly among this gateway and the peers of
// the round.
func (t *pushSum) split(left, n float64) (mass [2]float64) {
	for i := range t.local {
		local := t.local[i] / left
		mass[i] = t.pooled[i]/(left+1) + local*(1-1/n)
		t.pooled[i] += local/n - t.pooled[i]/(left+1)
		t.local[i] -= local
	}
	return mass
}

// merge adds the mass that a peer has sent.
func (t *pushSum) merge(now Time, timeConstant time.Duration, weight int, mass [2]float64) {
	t.decay(now, timeConstant, weight)
	for i := range mass {
		t.pooled[i] += mass[i]
	}
}

// decayingMean is a sum and the weight of its samples, which decay together.
type decayingMean struct {
	sum, weight float64
	decayedAt   Time
}

// decay decays the sums up to now.
func (m *decayingMean) decay(now Time, timeConstant time.Duration) {
	if now > m.decayedAt {
		f := decayFactor(now-m.decayedAt, timeConstant)
		m.sum *= f
		m.weight *= f
		m.decayedAt = now
	}
}

// add decays the sums up to now and adds a sample.
func (m *decayingMean) add(now Time, timeConstant time.Duration, x float64) {
	m.decay(now, timeConstant)
	m.sum += x
	m.weight++
}

// addBool adds a sample of 1 or 0.
func (m *decayingMean) addBool(now Time, timeConstant time.Duration, yes bool) {
	m.add(now, timeConstant, 0)
	if yes {
		m.sum++
	}
}

// smoothed returns the mean with one sample of 1 added, so that it stays near 1 while there are few samples.
func (m *decayingMean) smoothed() float64 { return (m.sum + 1) / (m.weight + 1) }

// decayingFit is a least-squares line of a request's latency over its units; its sums decay with time.
type decayingFit struct{ weight, units, unitsSquared, seconds, unitsSeconds float64 }

// add decays the sums by a factor and then adds a sample.
func (f *decayingFit) add(decay, units, seconds float64) {
	f.weight = f.weight*decay + 1
	f.units, f.unitsSquared = f.units*decay+units, f.unitsSquared*decay+units*units
	f.seconds, f.unitsSeconds = f.seconds*decay+seconds, f.unitsSeconds*decay+units*seconds
}

// predict returns the expected latency in seconds. It is the mean if all samples have had about the same units, and
// never less than an eighth of the mean.
func (f *decayingFit) predict(units float64) float64 {
	n := math.Max(f.weight, 1e-9)
	spread, slope := f.unitsSquared-f.units*f.units/n, 0.0
	if spread > 1e-3*f.unitsSquared {
		slope = math.Max(0, (f.unitsSeconds-f.units*f.seconds/n)/spread)
	}
	return math.Max(f.seconds/n/8, f.seconds/n+slope*(units-f.units/n))
}
